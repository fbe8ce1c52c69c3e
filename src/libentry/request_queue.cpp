#include <dandeliontack/request_queue.hpp>

#include <algorithm>
#include <iterator>

namespace dandeliontack
{

std::optional<request_class> parse_request_class(std::string_view text)
{
    constexpr std::array<std::string_view, request_classes> names{
        "urgent", "normal", "deferrable"};
    const auto found = std::ranges::find(names, text);
    if (found == names.end())
        return std::nullopt;
    return static_cast<request_class>(std::distance(names.begin(), found));
}

request_queue::request_queue(std::size_t limit) : limit_(limit) {}

push_result request_queue::push(
    std::uint64_t id, request_class of, time_point deadline, time_point now,
    std::chrono::nanoseconds slot_interval)
{
    const auto index = static_cast<std::size_t>(of);
    auto& part = parts_[index];
    if (part.size() >= limit_)
        return push_result::full;
    const auto place = part.insert({deadline, id}).first;
    const auto ahead =
        static_cast<std::uint64_t>(std::distance(part.begin(), place));
    // The class gets its weight's share of the slots that become free.
    const auto slots = (ahead + 1) * weight_of_waiting() / class_weights[index];
    if (now + slot_interval * slots <= deadline)
        return push_result::queued;
    part.erase(place);
    return push_result::too_late;
}

// Smooth weighted round robin over the classes that wait.
std::optional<std::uint64_t> request_queue::pop()
{
    const auto total = weight_of_waiting();
    if (total == 0)
        return std::nullopt;
    std::size_t chosen = request_classes;
    for (std::size_t i = 0; i < request_classes; ++i)
    {
        if (parts_[i].empty())
            continue;
        credit_[i] += static_cast<std::int64_t>(class_weights[i]);
        if (chosen == request_classes || credit_[i] > credit_[chosen])
            chosen = i;
    }
    credit_[chosen] -= static_cast<std::int64_t>(total);
    auto& part = parts_[chosen];
    const auto id = part.begin()->second;
    part.erase(part.begin());
    if (part.empty())
        credit_[chosen] = 0;
    return id;
}

void request_queue::remove(
    std::uint64_t id, request_class of, time_point deadline)
{
    const auto index = static_cast<std::size_t>(of);
    parts_[index].erase({deadline, id});
    if (parts_[index].empty())
        credit_[index] = 0;
}

bool request_queue::empty() const
{
    return std::ranges::all_of(
        parts_, [](const auto& part) { return part.empty(); });
}

std::size_t request_queue::size(request_class of) const
{
    return parts_[static_cast<std::size_t>(of)].size();
}

std::uint64_t request_queue::weight_of_waiting() const
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < request_classes; ++i)
        sum += parts_[i].empty() ? 0 : class_weights[i];
    return sum;
}

} // namespace dandeliontack
