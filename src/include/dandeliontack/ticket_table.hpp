#pragma once

#include <dandeliontack/http.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

namespace dandeliontack
{

/// What the process that issued a ticket does with a copy of its request.
enum class ticket_verdict
{
    /// This copy runs the request; `finish` must follow. Given at most once.
    run,
    /// Another copy runs it now.
    wait,
    /// It has run; its answer is given.
    replay,
    /// It has run; its answer is no longer kept.
    answer_gone,
    /// It did not run and never will.
    not_run,
    /// It may or may not have run, and will not run again.
    unknown,
    /// The ticket belongs to a request with other content. This one will
    /// never run.
    other_request,
    /// Never issued, or forgotten. It may have run, and will not run again.
    forgotten
};

/// A verdict, with the answer for `replay`.
struct ticket_claim
{
    ticket_verdict verdict = ticket_verdict::forgotten;
    std::shared_ptr<const http_response> answer;
};

/// How the run of a request ended.
enum class run_end
{
    answered,
    not_run,
    unknown
};

/// Bounds of a ticket table.
struct ticket_limits
{
    std::size_t capacity = 65536;
    std::chrono::milliseconds lifetime = std::chrono::minutes(10);
    /// Bytes of answers that are kept, with their fields.
    std::size_t answer_bytes = 16 * 1024 * 1024;
};

/// The tickets that one incarnation has issued. Each request runs at most
/// once, because `claim` gives `run` at most once for each ticket and only
/// while the ticket is remembered. Reads no clock and does no I/O.
class ticket_table
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// What a ticket without an answer takes, in bytes.
    static constexpr std::size_t bytes_per_ticket = 192;

    explicit ticket_table(ticket_limits limits);

    /// Adds a new ticket. False where the table is full of unexpired ones or
    /// the number is already there.
    bool issue(std::uint64_t number, time_point now);

    /// Decides for one copy. `fingerprint` is that of the request's content;
    /// the first copy binds the ticket to it.
    ticket_claim
    claim(std::uint64_t number, std::uint64_t fingerprint, time_point now);

    /// Ends the run that `claim` gave. `answer` is kept for later copies
    /// while there is room for it.
    void finish(
        std::uint64_t number, run_end end,
        std::shared_ptr<const http_response> answer);

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    enum class state
    {
        issued,
        running,
        answered,
        not_run,
        unknown
    };
    struct entry
    {
        state at = state::issued;
        std::uint64_t fingerprint = 0;
        std::shared_ptr<const http_response> answer;
    };
    struct issue_time
    {
        time_point at;
        std::uint64_t number = 0;
    };

    static ticket_claim claim_of(const entry& found);
    void expire(time_point now);
    void drop_answer(entry& from);

    ticket_limits limits_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::deque<issue_time> issued_;
    std::deque<std::uint64_t> kept_;
    std::size_t kept_bytes_ = 0;
};

/// A hash of what a request asks for: method, target, schema version and
/// body.
std::uint64_t fingerprint_of(const http_request& request);

} // namespace dandeliontack
