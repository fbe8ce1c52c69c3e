#include <dandeliontack/relay_buffer.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

namespace dandeliontack
{

namespace
{

constexpr std::size_t kept_records = 4096;

std::size_t number_of(log_stream stream)
{
    return static_cast<std::size_t>(stream);
}

} // namespace

void relay_buffer::keep(
    log_stream stream, std::uint64_t offset, std::string record)
{
    const std::scoped_lock lock(mutex_);
    auto& held = lanes_.at(number_of(stream));
    const auto next = held.first + held.records.size();
    if (offset < next)
        return;
    if (offset > next)
    {
        held.records.clear();
        held.first = offset;
    }
    held.records.push_back(std::move(record));
    if (held.records.size() > kept_records)
    {
        held.records.pop_front();
        ++held.first;
    }
}

void relay_buffer::confirm(std::chrono::steady_clock::time_point when)
{
    const std::scoped_lock lock(mutex_);
    confirmed_ = std::max(confirmed_, when);
}

std::vector<std::string> relay_buffer::read(
    log_stream stream, std::uint64_t from, std::size_t most,
    std::size_t most_bytes) const
{
    const std::scoped_lock lock(mutex_);
    const auto& held = lanes_.at(number_of(stream));
    if (from < held.first || from >= held.first + held.records.size())
        return {};
    const auto begin = from - held.first;
    std::vector<std::string> out;
    std::size_t bytes = 0;
    for (const auto& record :
         held.records | std::views::drop(begin) | std::views::take(most))
    {
        bytes += record.size();
        if (bytes > most_bytes && !out.empty())
            break;
        out.push_back(record);
    }
    return out;
}

std::uint64_t relay_buffer::end(log_stream stream) const
{
    const std::scoped_lock lock(mutex_);
    const auto& held = lanes_.at(number_of(stream));
    return held.first + held.records.size();
}

std::chrono::steady_clock::time_point relay_buffer::confirmed() const
{
    const std::scoped_lock lock(mutex_);
    return confirmed_;
}

} // namespace dandeliontack
