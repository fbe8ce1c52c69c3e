#pragma once

#include <dandeliontack/submission.hpp>

#include <vector>

namespace dandeliontack
{

/// Amounts of resources that no host has room for, while room only shrinks.
/// Load pattern: a pool that is full for seconds has thousands of waiting
/// steps, and looking for a host for each in every round would take all of the
/// owner's CPU.
class unfit_needs
{
public:
    /// Notes that no host has room for the need.
    void add(const resources& need);
    /// Whether no host has room for the need, as none has for a smaller one.
    bool contains(const resources& need) const;

private:
    /// None is at least another in every resource.
    std::vector<resources> smallest_;
};

} // namespace dandeliontack
