#include "format.hpp"
#include <dandeliontack/report.hpp>

#include <iomanip>
#include <sstream>

namespace dandeliontack
{

namespace
{

constexpr int name_width = 24;
constexpr int figure_width = 12;

void heading(std::ostream& out, const std::string& text)
{
    out << "\n" << text << "\n";
}

void row(
    std::ostream& out, const std::string& name,
    const std::vector<std::string>& figures)
{
    out << "  " << std::left << std::setw(name_width) << name << std::right;
    for (const auto& figure : figures)
        out << std::setw(figure_width) << figure;
    out << "\n";
}

std::vector<std::string> figures_of(const burn& level)
{
    return {
        format_number(level.counts.total()), format_number(level.counts.bad()),
        format_percent(level.budget_used), format_rate(level.short_rate),
        format_rate(level.long_rate)};
}

std::vector<std::string> burn_titles(const report_settings& by)
{
    const auto minutes = [](std::chrono::milliseconds window) {
        return format_number(
                   std::chrono::duration<double, std::ratio<60>>(window)
                       .count()) +
               " min";
    };
    return {
        "requests", "bad", "budget used", minutes(by.short_window),
        minutes(by.long_window)};
}

void print_levels(std::ostream& out, const report& r)
{
    heading(
        out, "Service levels (objective " +
                 format_percent(r.settings.objective) + ")");
    row(out, "", burn_titles(r.settings));
    for (const auto& item : r.services)
        row(out,
            item.label.service + " " + item.label.version +
                (item.old_version ? " (old)" : ""),
            figures_of(item.level));
    heading(out, "Pools");
    auto titles = burn_titles(r.settings);
    titles.insert(titles.end(), {"hosts", "promised", "buffer"});
    row(out, "", titles);
    for (const auto& item : r.pools)
    {
        auto figures = figures_of(item.level);
        figures.insert(
            figures.end(),
            {std::to_string(item.hosts), std::to_string(item.promised_hosts),
             std::to_string(item.buffer_hosts())});
        row(out, item.pool, figures);
    }
}

void print_processes(std::ostream& out, const report& r)
{
    heading(out, "Processes");
    row(out, "", {"role", "answers", "system", "operators"});
    for (const auto& item : r.processes)
        row(out, item.name.empty() ? to_string(item.address) : item.name,
            {item.role == process_role::entry ? "entry" : "control",
             item.answered ? "yes" : "NO", std::to_string(item.system_end),
             std::to_string(item.operators_end)});
    if (r.diverged)
        out << "  ALARM: control processes at one offset have different "
               "states\n";
}

} // namespace

std::string to_text(const report& r)
{
    std::ostringstream out;
    out << "From " << format_time(r.from) << " until " << format_time(r.until)
        << "\n";
    print_levels(out, r);
    heading(out, "Refusals");
    for (const auto& item : r.refusals)
        row(out, item.outcome, {format_number(item.count)});
    heading(out, "Changes");
    row(out, "applied", {format_number(r.rollout.changes)});
    row(out, "median roll-out", {format_number(r.rollout.median) + " s"});
    row(out, "0.99 roll-out", {format_number(r.rollout.most) + " s"});
    row(out, "records rejected", {format_number(r.records_rejected)});
    heading(out, "Waves");
    for (const auto& item : r.waves)
        row(out, item.name, {item.paused ? "paused" : "published"});
    print_processes(out, r);
    return out.str();
}

} // namespace dandeliontack
