#include "format.hpp"
#include <dandeliontack/report.hpp>

#include <algorithm>
#include <array>
#include <sstream>

namespace dandeliontack
{

namespace
{

// Colours that people with any colour vision can tell apart (Okabe and Ito).
constexpr std::array palette{"#0072b2", "#d55e00", "#009e73",
                             "#cc79a7", "#e69f00", "#56b4e9"};
constexpr double plot_width = 860;
constexpr double plot_height = 240;
constexpr double plot_left = 56;
constexpr double plot_bottom = 28;
constexpr double plot_top = 10;
constexpr double bar_width = 160;

constexpr std::string_view page_start =
    R"(<!doctype html><html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title><style>
body{font:16px/1.45 system-ui,sans-serif;color:#1a1a1a;background:#fff;
max-width:62rem;margin:2rem auto;padding:0 1rem}
h1{font-size:1.6rem;margin:0}h2{font-size:1.15rem;margin:2.2rem 0 .5rem}
p{margin:.3rem 0}.muted{color:#555}
table{border-collapse:collapse;width:100%}
th,td{text-align:right;padding:.35rem .6rem;border-bottom:1px solid #ddd;
font-variant-numeric:tabular-nums;white-space:nowrap}
th:first-child,td:first-child{text-align:left}
thead th{font-weight:600;border-bottom:2px solid #888}
.tiles{display:flex;flex-wrap:wrap;gap:.8rem;margin:1.2rem 0}
.tile{border:1px solid #ccc;border-radius:.5rem;padding:.6rem 1rem;
min-width:9rem}.tile b{display:block;font-size:1.5rem}
.alarm{color:#a30000;font-weight:600}svg{max-width:100%;height:auto}
.legend span{margin-right:1.2rem}.swatch{display:inline-block;width:1.4rem;
height:.35rem;vertical-align:middle;margin-right:.4rem}
.dashed{height:0;border-top:2px dashed #a30000}
</style></head><body>
)";

std::string escape(const std::string& text)
{
    std::string out;
    for (const char c : text)
    {
        switch (c)
        {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

void header_row(std::ostream& out, const std::vector<std::string>& titles)
{
    out << "<table><thead><tr>";
    for (const auto& title : titles)
        out << "<th scope=\"col\">" << escape(title) << "</th>";
    out << "</tr></thead><tbody>\n";
}

// Cells are HTML already.
void body_row(std::ostream& out, const std::vector<std::string>& cells)
{
    out << "<tr>";
    for (const auto& cell : cells)
        out << "<td>" << cell << "</td>";
    out << "</tr>\n";
}

void table_end(std::ostream& out)
{
    out << "</tbody></table>\n";
}

void tile(
    std::ostream& out, const std::string& figure, const std::string& what,
    bool alarm = false)
{
    out << "<div class=\"tile" << (alarm ? " alarm" : "") << "\"><b>"
        << escape(figure) << "</b>" << escape(what) << "</div>\n";
}

// A bar of the share used; the part above the whole is drawn full, and the
// figure beside it tells how much.
std::string budget_bar(double share)
{
    const double filled = std::clamp(share, 0.0, 1.0) * bar_width;
    const auto* colour = share > 1 ? "#a30000" : palette.front();
    std::ostringstream out;
    out << "<svg role=\"img\" width=\"" << bar_width
        << "\" height=\"14\" aria-label=\"" << format_percent(share)
        << " of the budget used\"><rect width=\"" << bar_width
        << "\" height=\"14\" fill=\"#e8e8e8\"/><rect width=\"" << filled
        << "\" height=\"14\" fill=\"" << colour << "\"/></svg> "
        << (share > 1 ? "<span class=\"alarm\">" : "<span>")
        << format_percent(share) << "</span>";
    return out.str();
}

std::vector<std::string> burn_cells(const burn& level)
{
    return {
        format_number(level.counts.total()), format_number(level.counts.bad()),
        budget_bar(level.budget_used), format_rate(level.short_rate),
        format_rate(level.long_rate)};
}

// The next of 2, 4, 8, 20, 40, 80 and so on, so that four lines of the plot
// stand at round values.
double round_up(double value)
{
    double unit = 1;
    while (value > 8 * unit)
        unit *= 10;
    for (const double step : {2.0, 4.0})
        if (value <= step * unit)
            return step * unit;
    return 8 * unit;
}

// Maps times and burn rates to places in the plot.
class plot_scale
{
public:
    explicit plot_scale(const report& r)
        : from_(r.from), span_(r.until - r.from)
    {
        for (const auto& pool : r.pools)
            for (const auto& point : pool.history)
                highest_ = std::max(highest_, point.rate);
        highest_ = round_up(highest_);
    }

    double x(std::chrono::sys_time<std::chrono::milliseconds> time) const
    {
        const auto span = std::max<double>(1, double(span_.count()));
        return plot_left +
               double((time - from_).count()) / span * (plot_width - plot_left);
    }
    double y(double rate) const
    {
        const double height = plot_height - plot_bottom - plot_top;
        return plot_top + height * (1 - rate / highest_);
    }
    double highest() const
    {
        return highest_;
    }

private:
    std::chrono::sys_time<std::chrono::milliseconds> from_;
    std::chrono::milliseconds span_;
    // The line of the burn rate 1 is always shown.
    double highest_ = 2;
};

void plot_frame(std::ostream& out, const plot_scale& scale, const report& r)
{
    constexpr int lines = 4;
    for (int i = 0; i <= lines; ++i)
    {
        const double rate = scale.highest() * i / lines;
        out << "<line x1=\"" << plot_left << "\" x2=\"" << plot_width
            << "\" y1=\"" << scale.y(rate) << "\" y2=\"" << scale.y(rate)
            << "\" stroke=\"#ddd\"/><text x=\"" << plot_left - 8 << "\" y=\""
            << scale.y(rate) + 4 << "\" text-anchor=\"end\">"
            << format_number(rate) << "x</text>\n";
    }
    out << "<line x1=\"" << plot_left << "\" x2=\"" << plot_width << "\" y1=\""
        << scale.y(1) << "\" y2=\"" << scale.y(1)
        << "\" stroke=\"#a30000\" stroke-dasharray=\"6 4\"/>"
        << "<text x=\"" << plot_left << "\" y=\"" << plot_height - 6 << "\">"
        << format_time(r.from) << "</text><text x=\"" << plot_width << "\" y=\""
        << plot_height - 6 << "\" text-anchor=\"end\">" << format_time(r.until)
        << "</text>\n";
}

void plot_pool(
    std::ostream& out, const plot_scale& scale, const pool_level& pool,
    const char* colour)
{
    out << "<path fill=\"none\" stroke-width=\"2.5\" stroke=\"" << colour
        << "\" d=\"";
    char step = 'M';
    for (const auto& point : pool.history)
    {
        out << step << scale.x(point.time) << " " << scale.y(point.rate) << " ";
        step = 'L';
    }
    out << "\"/>\n";
    for (const auto& point : pool.history)
        out << "<circle r=\"3\" fill=\"" << colour << "\" cx=\""
            << scale.x(point.time) << "\" cy=\"" << scale.y(point.rate)
            << "\"><title>" << escape(pool.pool) << ", "
            << format_time(point.time) << ": " << format_rate(point.rate)
            << "</title></circle>";
}

void burn_plot(std::ostream& out, const report& r)
{
    out << "<h2>Burn rate of each pool, short window</h2>\n";
    const plot_scale scale(r);
    out << "<svg role=\"img\" viewBox=\"0 0 " << plot_width << " "
        << plot_height << "\" font-size=\"12\" fill=\"#333\" "
        << "font-family=\"sans-serif\"><title>Burn rate of each pool over "
           "time</title>\n";
    plot_frame(out, scale, r);
    for (std::size_t i = 0; i < r.pools.size(); ++i)
        plot_pool(out, scale, r.pools[i], palette.at(i % palette.size()));
    out << "</svg>\n<p class=\"legend\">";
    for (std::size_t i = 0; i < r.pools.size(); ++i)
        out << "<span><i class=\"swatch\" style=\"background:"
            << palette.at(i % palette.size()) << "\"></i>"
            << escape(r.pools[i].pool) << "</span>";
    out << "<span><i class=\"swatch dashed\"></i>1x uses just the budget</span>"
           "</p>\n";
}

const std::vector<std::string>& burn_columns()
{
    static const std::vector<std::string> columns{
        "requests", "bad", "budget used", "burn, short", "burn, long"};
    return columns;
}

void service_table(std::ostream& out, const report& r)
{
    out << "<h2>Services</h2>\n";
    std::vector<std::string> titles{"service", "version", "pool"};
    titles.insert(titles.end(), burn_columns().begin(), burn_columns().end());
    header_row(out, titles);
    for (const auto& item : r.services)
    {
        std::vector<std::string> cells{
            escape(item.label.service),
            escape(item.label.version) + (item.old_version ? " (old)" : ""),
            escape(item.label.pool)};
        const auto burn = burn_cells(item.level);
        cells.insert(cells.end(), burn.begin(), burn.end());
        body_row(out, cells);
    }
    table_end(out);
}

void pool_table(std::ostream& out, const report& r)
{
    out << "<h2>Pools</h2>\n";
    header_row(
        out, {"pool", "hosts", "promised", "buffer", "budget used",
              "burn, short", "burn, long"});
    for (const auto& item : r.pools)
        body_row(
            out, {escape(item.pool), std::to_string(item.hosts),
                  std::to_string(item.promised_hosts),
                  std::to_string(item.buffer_hosts()),
                  budget_bar(item.level.budget_used),
                  format_rate(item.level.short_rate),
                  format_rate(item.level.long_rate)});
    table_end(out);
}

void change_tables(std::ostream& out, const report& r)
{
    out << "<h2>Refusals</h2>\n";
    header_row(out, {"outcome", "count"});
    for (const auto& item : r.refusals)
        body_row(out, {escape(item.outcome), format_number(item.count)});
    table_end(out);
    out << "<h2>Waves</h2>\n";
    header_row(out, {"wave", "state"});
    for (const auto& item : r.waves)
        body_row(
            out, {escape(item.name), item.paused ? "paused" : "published"});
    table_end(out);
}

void process_table(std::ostream& out, const report& r)
{
    out << "<h2>Processes</h2>\n";
    header_row(
        out, {"process", "role", "answers", "system offset", "operators offset",
              "state"});
    for (const auto& item : r.processes)
        body_row(
            out,
            {escape(item.name.empty() ? to_string(item.address) : item.name),
             item.role == process_role::entry ? "entry" : "control",
             item.answered ? "yes" : "<span class=\"alarm\">no</span>",
             std::to_string(item.system_end),
             std::to_string(item.operators_end), escape(item.state_hash)});
    table_end(out);
}

double highest_use(const report& r)
{
    double highest = 0;
    for (const auto& item : r.services)
        highest = std::max(highest, item.level.budget_used);
    return highest;
}

std::uint64_t buffer_of(const report& r)
{
    std::uint64_t sum = 0;
    for (const auto& item : r.pools)
        sum += item.buffer_hosts();
    return sum;
}

void tiles(std::ostream& out, const report& r)
{
    const auto silent =
        std::ranges::count(r.processes, false, &process_view::answered);
    out << "<div class=\"tiles\">\n";
    tile(
        out, format_percent(highest_use(r)), "of the worst budget used",
        highest_use(r) > 1);
    tile(out, std::to_string(buffer_of(r)), "hosts of buffer");
    tile(
        out, format_number(r.rollout.most) + " s",
        "roll-out, 0.99 of " + format_number(r.rollout.changes) + " changes");
    tile(
        out, format_number(r.records_rejected), "records rejected",
        r.records_rejected > 0);
    tile(out, std::to_string(silent), "silent processes", silent > 0);
    if (r.diverged)
        tile(out, "diverged", "states at one offset differ", true);
    out << "</div>\n";
}

} // namespace

std::string to_html(const report& r)
{
    std::ostringstream out;
    out << page_start << "<h1>Service-level burn</h1>\n<p class=\"muted\">"
        << format_time(r.from) << " until " << format_time(r.until)
        << ", objective " << format_percent(r.settings.objective)
        << " of requests answered</p>\n";
    tiles(out, r);
    burn_plot(out, r);
    service_table(out, r);
    pool_table(out, r);
    change_tables(out, r);
    process_table(out, r);
    out << "</body></html>\n";
    return out.str();
}

} // namespace dandeliontack
