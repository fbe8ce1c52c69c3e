#include "request_history.hpp"

#include <algorithm>
#include <fstream>

namespace dandeliontack::harness
{

namespace
{

// The stand-in's answer after its name: target and body.
std::string expected_answer(const caller_record& r)
{
    return " /r/" + r.token + " " + (r.idempotent ? "" : r.token);
}

void check_one(
    const caller_record& r, unsigned runs, const history_rules& rules,
    std::vector<std::string>& breaches)
{
    const auto breach = [&](const std::string& what) {
        breaches.push_back(r.token + ": " + what);
    };
    if (r.end == copy_end::answered)
    {
        const auto name_end = std::min(r.body.find(' '), r.body.size());
        if (r.body.substr(name_end) != expected_answer(r))
            breach("got the answer '" + r.body + "'");
        if (runs == 0)
            breach("answered but not run");
    }
    if (r.end == copy_end::not_run && runs != 0)
        breach("refused as not-run but run");
    if (!r.idempotent && runs > 1)
        breach("run " + std::to_string(runs) + " times");
    if (!rules.may_cut && r.end == copy_end::cut)
        breach("cut");
}

} // namespace

void read_runs(const std::filesystem::path& file, run_counts& runs)
{
    std::ifstream in(file);
    std::string line;
    const std::string mark = " /r/";
    while (std::getline(in, line))
    {
        const auto at = line.find(mark);
        if (at == std::string::npos)
            continue;
        const auto begin = at + mark.size();
        ++runs[line.substr(begin, line.find(' ', begin) - begin)];
    }
}

std::vector<std::string> check_history(
    const std::vector<caller_record>& callers, const run_counts& runs,
    const history_rules& rules)
{
    std::vector<std::string> breaches;
    for (const auto& r : callers)
    {
        const auto found = runs.find(r.token);
        check_one(r, found == runs.end() ? 0 : found->second, rules, breaches);
    }
    return breaches;
}

std::size_t count_of(const std::vector<caller_record>& callers, copy_end end)
{
    return static_cast<std::size_t>(
        std::ranges::count(callers, end, &caller_record::end));
}

} // namespace dandeliontack::harness
