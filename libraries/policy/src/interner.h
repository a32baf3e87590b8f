// Maps names to consecutive integers, so that state can be kept in vectors.
#ifndef CRANBERRYSHUNT_POLICY_INTERNER_H_
#define CRANBERRYSHUNT_POLICY_INTERNER_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberryshunt::policy {

// Stands for the absence of a name.
inline constexpr std::int32_t kNone = -1;

class Interner {
 public:
  // Returns the number of `name` and adds the name if it is new. Returns kNone
  // for an empty name.
  std::int32_t Add(const std::string& name) {
    if (name.empty()) {
      return kNone;
    }
    const auto [it, added] =
        numbers_.try_emplace(name, static_cast<std::int32_t>(names_.size()));
    if (added) {
      names_.push_back(name);
    }
    return it->second;
  }

  // Returns the number of `name`, or kNone if it was not added.
  std::int32_t Find(const std::string& name) const {
    const auto it = numbers_.find(name);
    return it == numbers_.end() ? kNone : it->second;
  }

  const std::string& name(std::int32_t number) const {
    return names_[static_cast<std::size_t>(number)];
  }

  std::size_t size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, std::int32_t> numbers_;
  std::vector<std::string> names_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_INTERNER_H_
