#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace dandeliontack::standins
{

/// One stream of the log, in memory.
class stream_store
{
public:
    explicit stream_store(boost::asio::any_io_executor executor)
        : changed_(executor)
    {
        changed_.expires_at(boost::asio::steady_timer::time_point::max());
    }

    std::uint64_t oldest() const
    {
        return oldest_;
    }
    std::uint64_t end() const
    {
        return oldest_ + records_.size();
    }

    /// Appends and returns the first offset.
    std::uint64_t append(const std::vector<std::string>& records)
    {
        const auto first = end();
        records_.insert(records_.end(), records.begin(), records.end());
        changed_.cancel();
        return first;
    }

    /// Up to `most` records from an offset on.
    std::vector<std::string> read(std::uint64_t from, std::size_t most) const
    {
        const auto begin = std::min<std::uint64_t>(
            from < oldest_ ? 0 : from - oldest_, records_.size());
        const auto count =
            std::min<std::uint64_t>(most, records_.size() - begin);
        const auto first =
            records_.begin() + static_cast<std::ptrdiff_t>(begin);
        return {first, first + static_cast<std::ptrdiff_t>(count)};
    }

    /// Drops records with an offset below `before`.
    void trim(std::uint64_t before)
    {
        while (oldest_ < before && !records_.empty())
        {
            records_.pop_front();
            ++oldest_;
        }
    }

    /// Waits until there is a record at `from`, or until a time.
    boost::asio::awaitable<void>
    wait_for(std::uint64_t from, std::chrono::steady_clock::time_point until)
    {
        while (end() <= from && std::chrono::steady_clock::now() < until)
        {
            boost::asio::steady_timer limit(changed_.get_executor(), until);
            limit.async_wait([this](auto ec) {
                if (!ec)
                    changed_.cancel();
            });
            co_await changed_.async_wait(
                boost::asio::as_tuple(boost::asio::use_awaitable));
        }
    }

private:
    boost::asio::steady_timer changed_;
    std::uint64_t oldest_ = 0;
    std::deque<std::string> records_;
};

} // namespace dandeliontack::standins
