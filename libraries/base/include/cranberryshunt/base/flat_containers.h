// A map and a set that keep their elements in one sorted vector. Walks and
// look-ups touch little memory; an insertion moves the elements behind it.
// Boost's containers cannot be used in headers that tests include, because they
// collide with Criterion's macro `Test`.
#ifndef CRANBERRYSHUNT_BASE_FLAT_CONTAINERS_H_
#define CRANBERRYSHUNT_BASE_FLAT_CONTAINERS_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace cranberryshunt {

// Insertions and erasures invalidate iterators and references. Elements must
// not be reordered through their keys.
template <typename Key, typename Value>
class FlatMap {
 public:
  using Element = std::pair<Key, Value>;
  using const_iterator = typename std::vector<Element>::const_iterator;

  // Returns the value of `key`, which is added if it is missing.
  Value& operator[](const Key& key) {
    const auto it =
        std::lower_bound(elements_.begin(), elements_.end(), key, KeyIsLess);
    if (it != elements_.end() && it->first == key) {
      return it->second;
    }
    return elements_.emplace(it, key, Value())->second;
  }

  const_iterator find(const Key& key) const {
    const auto it =
        std::lower_bound(elements_.begin(), elements_.end(), key, KeyIsLess);
    return it != elements_.end() && it->first == key ? it : elements_.end();
  }

  // Returns the number of erased elements.
  std::size_t erase(const Key& key) {
    const auto it = find(key);
    if (it == end()) {
      return 0;
    }
    elements_.erase(it);
    return 1;
  }

  template <typename Predicate>
  void erase_if(Predicate predicate) {
    std::erase_if(elements_, predicate);
  }

  bool contains(const Key& key) const { return find(key) != end(); }
  const_iterator begin() const { return elements_.begin(); }
  const_iterator end() const { return elements_.end(); }
  std::size_t size() const { return elements_.size(); }
  bool empty() const { return elements_.empty(); }

 private:
  static bool KeyIsLess(const Element& element, const Key& key) {
    return element.first < key;
  }

  std::vector<Element> elements_;
};

// Insertions and erasures invalidate iterators.
template <typename Key>
class FlatSet {
 public:
  using const_iterator = typename std::vector<Key>::const_iterator;

  // Returns whether `key` was added.
  bool insert(const Key& key) {
    const auto it = std::lower_bound(keys_.begin(), keys_.end(), key);
    if (it != keys_.end() && *it == key) {
      return false;
    }
    keys_.insert(it, key);
    return true;
  }

  template <typename Iterator>
  void insert(Iterator first, Iterator last) {
    keys_.insert(keys_.end(), first, last);
    std::sort(keys_.begin(), keys_.end());
    keys_.erase(std::unique(keys_.begin(), keys_.end()), keys_.end());
  }

  // Returns the number of erased keys.
  std::size_t erase(const Key& key) {
    const auto it = std::lower_bound(keys_.begin(), keys_.end(), key);
    if (it == keys_.end() || *it != key) {
      return 0;
    }
    keys_.erase(it);
    return 1;
  }

  bool contains(const Key& key) const {
    return std::binary_search(keys_.begin(), keys_.end(), key);
  }
  const_iterator begin() const { return keys_.begin(); }
  const_iterator end() const { return keys_.end(); }
  std::size_t size() const { return keys_.size(); }
  bool empty() const { return keys_.empty(); }

 private:
  std::vector<Key> keys_;
};

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_FLAT_CONTAINERS_H_
