#pragma once

#include <dandeliontack/finding.hpp>

#include <boost/json/fwd.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandeliontack
{

/// Why a submission missed its latency objective: what took the longest.
enum class loss_reason : std::uint8_t
{
    /// Each request was answered with 429 or 503.
    refused,
    /// No request was answered with a definite result.
    unanswered,
    /// From the first request until an owner took it.
    admission,
    /// Ready tasks had no host with room.
    no_host,
    /// Tasks were started more than once.
    restarts,
    /// Tasks ran longer than estimated.
    long_runs,
    /// The rest: changes of the owner, and ends that waited to be stored.
    owner_or_store
};
inline constexpr std::size_t loss_reasons = 7;

std::string_view to_string(loss_reason reason);

/// The submissions to one pool whose first request came in one second.
struct loss_row
{
    std::uint32_t submissions = 0;
    std::uint32_t in_time = 0;
    std::array<std::uint32_t, loss_reasons> lost{};
};

/// By pool and second since the epoch of the wall clock.
using loss_table =
    std::map<std::pair<std::string, std::chrono::seconds>, loss_row>;

struct loss_report
{
    loss_table rows;
    std::uint64_t lines = 0;
    std::uint64_t unreadable = 0;
    /// Lines of events that the nodes left out to bound their logs' volume.
    std::uint64_t left_out = 0;
    /// The first unreadable lines.
    findings unreadable_lines;
};

/// Draws the losses of submissions from the log lines of all nodes of a
/// deployment, in any order.
class loss_reader
{
public:
    /// Reads one line; what precedes its JSON object, as a log collector's
    /// time, is passed over. Blank lines are ignored.
    void add(const std::string& file, unsigned line, std::string_view text);

    loss_report report() const;

private:
    using milliseconds = std::chrono::milliseconds;

    struct submission
    {
        std::string route;
        std::string pool;
        milliseconds first{milliseconds::max()};
        bool accepted = false;
        bool unknown = false;
        bool completed = false;
        /// It was cancelled or failed by its own fault: nothing is lost.
        bool ended_otherwise = false;
        milliseconds finished{0};
        milliseconds age{0};
        milliseconds objective{0};
        milliseconds chain{0};
        milliseconds unplaced{0};
        milliseconds running{0};
        std::int64_t restarts = 0;
    };

    void add_event(const boost::json::object& event);
    static loss_reason reason_of(const submission& s);

    std::map<std::string, submission> submissions_;
    std::map<std::string, std::string> pools_by_route_;
    std::uint64_t lines_ = 0;
    std::uint64_t unreadable_ = 0;
    std::uint64_t left_out_ = 0;
    findings unreadable_lines_;
};

/// A table by second and pool, and the totals by reason.
std::string to_text(const loss_report& report);
boost::json::value to_json(const loss_report& report);

} // namespace dandeliontack
