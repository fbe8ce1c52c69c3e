#include <dandeliontack/losses.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace dandeliontack
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t max_unreadable_shown = 20;
constexpr std::int64_t status_ok = 200;
constexpr std::int64_t status_too_many = 429;
constexpr std::int64_t status_unavailable = 503;

std::string text_of(const boost::json::object& event, std::string_view name)
{
    const auto* value = event.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string().c_str())
                                       : std::string();
}

std::int64_t number_of(const boost::json::object& event, std::string_view name)
{
    const auto* value = event.if_contains(name);
    return value && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

milliseconds time_of(const boost::json::object& event, std::string_view name)
{
    return milliseconds(number_of(event, name));
}

std::uint32_t lost_in(const loss_row& row)
{
    return std::accumulate(row.lost.begin(), row.lost.end(), 0U);
}

} // namespace

std::string_view to_string(loss_reason reason)
{
    constexpr std::array<std::string_view, loss_reasons> names{
        "refused",  "unanswered", "admission",     "no_host",
        "restarts", "long_runs",  "owner_or_store"};
    return names.at(static_cast<std::size_t>(reason));
}

void loss_reader::add(
    const std::string& file, unsigned line, std::string_view text)
{
    if (text.find_first_not_of(" \t\r") == std::string_view::npos)
        return;
    ++lines_;
    const auto begin = text.find('{');
    boost::system::error_code error;
    boost::json::value parsed;
    if (begin != std::string_view::npos)
        parsed = boost::json::parse(text.substr(begin), error);
    const auto* event = parsed.if_object();
    if (!error && event && event->contains("event") &&
        event->contains("time_ms"))
    {
        add_event(*event);
        return;
    }
    ++unreadable_;
    if (unreadable_lines_.size() < max_unreadable_shown)
        unreadable_lines_.push_back(
            {file, line, "", "is not a whole log line of a node"});
}

void loss_reader::add_event(const boost::json::object& event)
{
    const auto name = text_of(event, "event");
    const auto at = time_of(event, "time_ms");
    if (name == "lines_left_out")
        left_out_ += static_cast<std::uint64_t>(number_of(event, "lines"));
    if (name == "request_answered" && text_of(event, "method") == "POST")
    {
        auto& s = submissions_[text_of(event, "submission")];
        const auto status = number_of(event, "status");
        s.route = text_of(event, "route");
        s.first = std::min(s.first, at - time_of(event, "took_ms"));
        s.accepted = s.accepted || status == status_ok;
        s.unknown =
            s.unknown || (status != status_ok && status != status_too_many &&
                          status != status_unavailable);
    }
    if (name != "submission_finished")
        return;
    auto& s = submissions_[text_of(event, "submission")];
    s.completed = text_of(event, "reason") == "completed";
    s.ended_otherwise = !s.completed;
    s.finished = at;
    s.route = text_of(event, "route");
    s.pool = text_of(event, "pool");
    s.age = time_of(event, "age_ms");
    s.objective = time_of(event, "objective_ms");
    s.chain = time_of(event, "chain_ms");
    s.unplaced = time_of(event, "unplaced_ms");
    s.running = time_of(event, "running_ms");
    s.restarts = number_of(event, "restarts");
    // The log of the node that took the request may be missing.
    s.first = std::min(s.first, at - s.age);
    pools_by_route_[s.route] = s.pool;
}

loss_reason loss_reader::reason_of(const submission& s)
{
    if (!s.completed)
        return s.unknown ? loss_reason::unanswered : loss_reason::refused;
    const auto total = s.finished - s.first;
    const auto admission = total - s.age;
    const auto longer = std::max(s.running - s.chain, milliseconds(0));
    const auto rest = s.age - s.unplaced - s.running;
    const std::array parts{
        std::pair(admission, loss_reason::admission),
        std::pair(s.unplaced, loss_reason::no_host),
        std::pair(
            longer,
            s.restarts > 0 ? loss_reason::restarts : loss_reason::long_runs),
        std::pair(rest, loss_reason::owner_or_store)};
    return std::ranges::max_element(
               parts, {}, &std::pair<milliseconds, loss_reason>::first)
        ->second;
}

loss_report loss_reader::report() const
{
    loss_report out;
    out.lines = lines_;
    out.unreadable = unreadable_;
    out.left_out = left_out_;
    out.unreadable_lines = unreadable_lines_;
    for (const auto& [id, s] : submissions_)
    {
        // Accepted and unfinished: long-running, or its end is not logged.
        const bool open = s.accepted && !s.completed;
        if (s.ended_otherwise || open ||
            (s.completed && s.chain == milliseconds(0)))
            continue;
        const auto known = pools_by_route_.find(s.route);
        const auto pool =
            known == pools_by_route_.end() ? "route " + s.route : known->second;
        auto& row = out.rows[{pool, std::chrono::floor<seconds>(s.first)}];
        ++row.submissions;
        if (s.completed && s.finished - s.first <= s.objective)
            ++row.in_time;
        else
            ++row.lost.at(static_cast<std::size_t>(reason_of(s)));
    }
    return out;
}

std::string to_text(const loss_report& report)
{
    std::ostringstream out;
    std::array<std::uint32_t, loss_reasons> totals{};
    constexpr int pool_width = 16;
    constexpr int number_width = 15;
    out << std::left << std::setw(pool_width) << "pool" << std::right
        << std::setw(number_width) << "second" << std::setw(number_width)
        << "submissions" << std::setw(number_width) << "in_time";
    for (std::size_t i = 0; i < loss_reasons; ++i)
        out << std::setw(number_width)
            << to_string(static_cast<loss_reason>(i));
    out << '\n';
    for (const auto& [key, row] : report.rows)
    {
        std::ranges::transform(totals, row.lost, totals.begin(), std::plus<>());
        if (lost_in(row) == 0)
            continue;
        out << std::left << std::setw(pool_width) << key.first << std::right
            << std::setw(number_width) << key.second.count()
            << std::setw(number_width) << row.submissions
            << std::setw(number_width) << row.in_time;
        for (const auto count : row.lost)
            out << std::setw(number_width) << count;
        out << '\n';
    }
    out << "\nlost, by reason:";
    for (std::size_t i = 0; i < loss_reasons; ++i)
        out << ' ' << to_string(static_cast<loss_reason>(i)) << ' '
            << totals.at(i);
    out << "\nlines read: " << report.lines
        << ", unreadable: " << report.unreadable
        << ", left out by nodes: " << report.left_out << '\n';
    return out.str();
}

boost::json::value to_json(const loss_report& report)
{
    boost::json::array rows;
    for (const auto& [key, row] : report.rows)
    {
        boost::json::object lost;
        for (std::size_t i = 0; i < loss_reasons; ++i)
            lost[to_string(static_cast<loss_reason>(i))] = row.lost.at(i);
        rows.push_back(
            {{"pool", key.first},
             {"second", key.second.count()},
             {"submissions", row.submissions},
             {"in_time", row.in_time},
             {"lost", std::move(lost)}});
    }
    return {
        {"rows", std::move(rows)},
        {"lines", report.lines},
        {"unreadable", report.unreadable},
        {"left_out", report.left_out}};
}

} // namespace dandeliontack
