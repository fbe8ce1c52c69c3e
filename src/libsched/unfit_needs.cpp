#include "unfit_needs.hpp"

#include <algorithm>

namespace dandeliontack
{

void unfit_needs::add(const resources& need)
{
    if (contains(need))
        return;
    std::erase_if(
        smallest_, [&](const resources& known) { return fits(need, known); });
    smallest_.push_back(need);
}

bool unfit_needs::contains(const resources& need) const
{
    return std::ranges::any_of(
        smallest_, [&](const resources& known) { return fits(known, need); });
}

} // namespace dandeliontack
