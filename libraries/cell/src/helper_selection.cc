#include "helper_selection.h"

#include <numeric>

namespace cranberryshunt::cell {

std::vector<std::size_t> UsableHelpers(const std::vector<bool>& silent) {
  std::vector<std::size_t> out;
  out.reserve(silent.size());
  for (std::size_t n = 0; n < silent.size(); ++n) {
    if (!silent[n]) {
      out.push_back(n);
    }
  }
  if (silent.size() > 1 && out.size() * 2 <= silent.size()) {
    out.resize(silent.size());
    std::iota(out.begin(), out.end(), std::size_t{0});
  }
  return out;
}

}  // namespace cranberryshunt::cell
