#include "task_host.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dandeliontack::standins
{

namespace json = boost::json;
namespace http = boost::beast::http;

namespace
{

constexpr std::int64_t default_run_ms = 200;
constexpr std::int64_t for_ever = INT64_MAX;

std::int64_t steady_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t run_ms_of(std::string_view text)
{
    if (text.starts_with("lasting"))
        return for_ever;
    std::int64_t value = default_run_ms;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

task_host::task_host(std::string id, std::size_t ends_per_answer)
    : id_(std::move(id)),
      ends_per_answer_(ends_per_answer),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      start_(std::chrono::steady_clock::now())
{}

const std::string& task_host::id() const
{
    return id_;
}

const json::array& task_host::history() const
{
    return history_;
}

std::int64_t task_host::clock() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - start_)
        .count();
}

http_response task_host::answer(unsigned status, json::object body) const
{
    body["clockMs"] = clock();
    body["born"] = born_;
    return make_response(
        static_cast<http::status>(status), "application/json",
        json::serialize(body));
}

bool task_host::is_fenced(const json::object& body)
{
    const auto fence = body.at("fencingToken").to_number<std::uint64_t>();
    if (fence < fence_)
        return true;
    fence_ = fence;
    return false;
}

void task_host::end(const std::string& task, std::string_view how)
{
    const auto found = running_.find(task);
    auto& row = history_[found->second.history].as_object();
    row["end"] = steady_ms();
    row["how"] = how;
    auto& ended = ended_run_[task];
    ended = std::max(ended, found->second.number);
    finished_.push_back(
        json::array{++ends_, task, found->second.number, how, ""});
    running_.erase(found);
}

void task_host::advance()
{
    const auto now = clock();
    std::vector<std::pair<std::string, std::string_view>> over;
    for (const auto& [task, run] : running_)
    {
        if (now >= until_)
            over.emplace_back(task, "lapsed");
        else if (now >= run.ends)
            over.emplace_back(task, run.fails ? "failed" : "done");
    }
    for (const auto& [task, how] : over)
        end(task, how);
}

http_response task_host::start(const http_request& request)
{
    advance();
    const auto body = json::parse(request.body()).as_object();
    if (is_fenced(body))
        return answer(409, {{"reason", "fence"}});
    const std::string task(body.at("task").as_string());
    const auto run = body.at("runId").to_number<std::uint32_t>();
    const auto until = body.at("untilMs").to_number<std::int64_t>();
    if (until <= clock())
        return answer(409, {{"reason", "late"}});
    until_ = std::max(until_, until);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number == run)
        return answer(200, {});
    if (found != running_.end() || run <= ended_run_[task])
        return answer(409, {{"reason", "old"}});
    const std::string text(body.at("spec").as_string());
    const auto length = run_ms_of(text);
    history_.push_back(json::object{
        {"host", id_}, {"task", task}, {"run", run}, {"begin", steady_ms()}});
    running_[task] = {
        run, length == for_ever ? for_ever : clock() + length,
        text.starts_with("failing"), history_.size() - 1};
    return answer(200, {});
}

http_response task_host::stop(const http_request& request)
{
    advance();
    const auto body = json::parse(request.body()).as_object();
    if (is_fenced(body))
        return answer(409, {{"reason", "fence"}});
    const std::string task(body.at("task").as_string());
    const auto run = body.at("runId").to_number<std::uint32_t>();
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number == run)
        end(task, "stopped");
    else
        ended_run_[task] = std::max(ended_run_[task], run);
    return answer(200, {});
}

bool task_host::has_ends()
{
    advance();
    return !finished_.empty();
}

http_response task_host::hold(const http_request& request)
{
    advance();
    const auto body = json::parse(request.body()).as_object();
    if (is_fenced(body))
        return answer(409, {{"reason", "fence"}});
    const auto cursor = body.at("ackCursor").to_number<std::uint64_t>();
    const auto* first =
        std::ranges::find_if(finished_, [&](const json::value& row) {
            return row.as_array()[0].to_number<std::uint64_t>() > cursor;
        });
    finished_.erase(finished_.begin(), first);
    if (const auto* until = body.if_contains("untilMs"))
        until_ = std::max(until_, until->to_number<std::int64_t>());
    json::array running;
    for (const auto& [task, run] : running_)
        running.push_back(json::array{task, run.number, "", 100, 0});
    const auto listed = std::min(finished_.size(), ends_per_answer_);
    json::array ends(
        finished_.begin(),
        finished_.begin() + static_cast<std::ptrdiff_t>(listed));
    return answer(
        200, {{"running", std::move(running)}, {"finished", std::move(ends)}});
}

std::string task_host::entry(
    const std::string& pool, const std::string& address,
    std::uint64_t sequence) const
{
    return json::serialize(json::object{
        {"service", pool},
        {"address", address},
        {"zone", "dc-1"},
        {"slots", 8},
        {"state", "ready"},
        {"capacity", {{"cpu", 8000}, {"memMb", 8000}, {"gpu", 0}}},
        {"labels", json::array{"a", "r1"}},
        {"born", born_},
        {"sequence", sequence}});
}

} // namespace dandeliontack::standins
