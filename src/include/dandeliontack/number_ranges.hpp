#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>

namespace dandeliontack
{

/// A set of numbers that takes memory for each gap instead of each number.
class number_ranges
{
public:
    void insert(std::uint32_t number)
    {
        insert(number, 1);
    }

    /// Inserts `count` numbers from `first` on.
    void insert(std::uint32_t first, std::uint64_t count)
    {
        if (count == 0)
            return;
        std::uint64_t begin = first;
        std::uint64_t end = begin + count;
        auto next = ranges_.upper_bound(begin);
        if (next != ranges_.begin() && std::prev(next)->second >= begin)
            --next;
        while (next != ranges_.end() && next->first <= end)
        {
            begin = std::min(begin, next->first);
            end = std::max(end, next->second);
            next = ranges_.erase(next);
        }
        ranges_[begin] = end;
    }

    bool contains(std::uint32_t number) const
    {
        const auto next = ranges_.upper_bound(number);
        return next != ranges_.begin() && std::prev(next)->second > number;
    }

    std::uint64_t size() const
    {
        std::uint64_t sum = 0;
        for (const auto& [begin, end] : ranges_)
            sum += end - begin;
        return sum;
    }

    /// The first number of each range with one past its last.
    const std::map<std::uint64_t, std::uint64_t>& ranges() const
    {
        return ranges_;
    }

private:
    std::map<std::uint64_t, std::uint64_t> ranges_;
};

} // namespace dandeliontack
