#pragma once

#include <dandeliontack/submission.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// How an owner answered.
enum class shard_outcome : std::uint8_t
{
    done,
    /// No such submission was ever accepted.
    not_found,
    /// This node doesn't own the shard, or may not speak for it any more;
    /// nothing was done.
    not_owner,
    /// It may have been done, or may be done later.
    unknown,
    /// Nothing was done, and nothing will be: it can't be served now.
    rejected
};

std::string_view to_string(shard_outcome outcome);

struct shard_answer
{
    shard_outcome outcome = shard_outcome::unknown;
    /// For `done`: what was asked for, if anything.
    std::string value;
};

/// What a shard's owner does for callers and for the fleet duty.
class shard_service
{
public:
    shard_service() = default;
    shard_service(const shard_service&) = delete;
    shard_service& operator=(const shard_service&) = delete;
    virtual ~shard_service() = default;

    /// `done` once the record is stored, also where it had been before.
    virtual boost::asio::awaitable<shard_answer>
    submit(submission_record record) = 0;
    virtual boost::asio::awaitable<shard_answer> cancel(std::uint64_t id) = 0;
    /// The value is the phase's name.
    virtual boost::asio::awaitable<shard_answer> state(std::uint64_t id) = 0;
    /// The value is a number.
    virtual boost::asio::awaitable<shard_answer> pending(std::string route) = 0;
    /// Asks for a host to be emptied; the value is `empty` or `busy`.
    virtual boost::asio::awaitable<shard_answer> evacuate(std::string host) = 0;
    /// The platform has ended a host's life.
    virtual boost::asio::awaitable<shard_answer>
    host_ended(std::string host) = 0;
    /// The value is what the shard's pools need and have, encoded; `lent` says
    /// which of them should clear hosts for others, encoded.
    virtual boost::asio::awaitable<shard_answer> demands(std::string lent) = 0;
};

} // namespace dandeliontack
