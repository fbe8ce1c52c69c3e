#pragma once

#include <dandeliontack/host_departure.hpp>
#include <dandeliontack/queue_places.hpp>
#include <dandeliontack/submission.hpp>
#include <dandeliontack/submission_refusal.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// The result of a call to a shard's owner.
enum class shard_outcome : std::uint8_t
{
    done,
    /// No such submission was ever accepted.
    not_found,
    /// The node does not own the shard, or may not act as its owner any more;
    /// the call had no effect.
    not_owner,
    /// The call may have taken effect, or may do so later.
    unknown,
    /// The call had no effect and will have none: it can't be served now.
    rejected,
    /// The call had no effect: other shards have to be asked first. The answer
    /// names all places of the queue.
    ask_others,
    /// The submission was cancelled before it came and is never accepted.
    withdrawn
};

std::string_view to_string(shard_outcome outcome);

struct shard_answer
{
    shard_outcome outcome = shard_outcome::unknown;
    /// For `done`: the result, if the call has one. For `ask_others` and
    /// `not_found`: the encoded places of the queue.
    std::string value;
    /// For `rejected`.
    submission_refusal refusal{};
};

/// The operations of a shard's owner, for callers and the fleet duty.
class shard_service
{
public:
    shard_service() = default;
    shard_service(const shard_service&) = delete;
    shard_service& operator=(const shard_service&) = delete;
    virtual ~shard_service() = default;

    /// Idempotent: `done` once the record is stored, also if it was before.
    /// `ask_others` if a shard that is not in `asked` may have the submission.
    virtual boost::asio::awaitable<shard_answer> submit(
        std::shared_ptr<const submission_record> record,
        asked_shards asked) = 0;
    /// Whether the submission was accepted here: `done` once its record is
    /// stored. For a queue that `terms` sends to another shard; if the answer
    /// is `not_found`, nothing of the queue is accepted here any more under
    /// this or an earlier version of the configuration. `withdrawn` if it was
    /// withdrawn here in the name of `account`.
    virtual boost::asio::awaitable<shard_answer>
    find(std::uint64_t id, std::string account, queue_terms terms) = 0;
    virtual boost::asio::awaitable<shard_answer> cancel(std::uint64_t id) = 0;
    /// Cancels the submission, or keeps it from being accepted later if it is
    /// not here: `not_found` once that is stored. It names all places that the
    /// queue has then. `account` is who cancels.
    virtual boost::asio::awaitable<shard_answer>
    withdraw(std::uint64_t id, std::string account, std::uint64_t queue) = 0;
    /// With a `queue`, `not_found` names all places that this queue had when
    /// the call arrived; it is 0 for a call that needs no places. The value is
    /// the name of the submission's phase.
    virtual boost::asio::awaitable<shard_answer>
    state(std::uint64_t id, std::uint64_t queue) = 0;
    /// The value is the number of the route's pending submissions, in decimal,
    /// and after a line feed the places of the queue.
    virtual boost::asio::awaitable<shard_answer>
    pending(std::string route, std::uint64_t queue) = 0;
    /// Requests that a host be evacuated; the value is `empty` or `busy`.
    virtual boost::asio::awaitable<shard_answer> evacuate(std::string host) = 0;
    /// An incarnation of a host has ended.
    virtual boost::asio::awaitable<shard_answer>
    host_ended(host_departure departure) = 0;
    /// The value is the encoded demand and capacity of the shard's pools;
    /// `lent` says, encoded, which of them should evacuate hosts for others.
    virtual boost::asio::awaitable<shard_answer> demands(std::string lent) = 0;
};

} // namespace dandeliontack
