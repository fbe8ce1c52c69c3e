#include <dandeliontack/metrics.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <set>
#include <sstream>
#include <string_view>

namespace dandeliontack
{

namespace acc = boost::accumulators;

namespace
{

constexpr std::array quantile_points{0.5, 0.9, 0.99};

using duration_set = acc::accumulator_set<
    double,
    acc::stats<
        acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

std::string_view base_name(std::string_view name)
{
    return name.substr(0, name.find('{'));
}

// The labels of a name without braces, and an added one.
std::string with_label(std::string_view name, const std::string& label)
{
    const auto brace = name.find('{');
    if (brace == std::string_view::npos)
        return std::string(name) + "{" + label + "}";
    return std::string(name.substr(0, name.size() - 1)) + "," + label + "}";
}

std::string with_suffix(std::string_view name, std::string_view suffix)
{
    const auto base = base_name(name);
    return std::string(base) + std::string(suffix) +
           std::string(name.substr(base.size()));
}

double seconds(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double>(value).count();
}

void type_line(
    std::ostream& out, std::set<std::string_view>& done, std::string_view name,
    std::string_view type)
{
    if (done.insert(base_name(name)).second)
        out << "# TYPE " << base_name(name) << " " << type << "\n";
}

template <class Metric, class Make>
auto& get_or_make(
    std::map<std::string, std::unique_ptr<Metric>>& map,
    const std::string& name, Make make)
{
    auto& slot = map[name];
    if (!slot)
        slot = make();
    return *slot;
}

} // namespace

struct summary::backend
{
    duration_set values{
        acc::tag::extended_p_square_quantile::probabilities = quantile_points};
};

summary::summary() : backend_(std::make_unique<backend>()) {}

summary::~summary() = default;

void summary::record(std::chrono::nanoseconds duration)
{
    const std::scoped_lock lock(mutex_);
    backend_->values(static_cast<double>(duration.count()));
}

std::chrono::nanoseconds summary::quantile(double probability) const
{
    const std::scoped_lock lock(mutex_);
    if (acc::count(backend_->values) == 0)
        return {};
    const double value = acc::quantile(
        backend_->values, acc::quantile_probability = probability);
    return std::chrono::nanoseconds(static_cast<std::int64_t>(value));
}

std::uint64_t summary::count() const
{
    const std::scoped_lock lock(mutex_);
    return acc::count(backend_->values);
}

std::chrono::nanoseconds summary::sum() const
{
    const std::scoped_lock lock(mutex_);
    return std::chrono::nanoseconds(
        static_cast<std::int64_t>(acc::sum(backend_->values)));
}

counter& metric_registry::get_counter(const std::string& name)
{
    const std::scoped_lock lock(mutex_);
    return get_or_make(counters_, name, std::make_unique<counter>);
}

gauge& metric_registry::get_gauge(const std::string& name)
{
    const std::scoped_lock lock(mutex_);
    return get_or_make(gauges_, name, std::make_unique<gauge>);
}

summary& metric_registry::get_summary(const std::string& name)
{
    const std::scoped_lock lock(mutex_);
    return get_or_make(summaries_, name, std::make_unique<summary>);
}

std::string metric_registry::render() const
{
    const std::scoped_lock lock(mutex_);
    std::ostringstream out;
    std::set<std::string_view> done;
    for (const auto& [name, metric] : counters_)
    {
        type_line(out, done, name, "counter");
        out << name << " " << metric->value() << "\n";
    }
    for (const auto& [name, metric] : gauges_)
    {
        type_line(out, done, name, "gauge");
        out << name << " " << metric->value() << "\n";
    }
    for (const auto& [name, metric] : summaries_)
    {
        type_line(out, done, name, "summary");
        for (const double point : quantile_points)
        {
            std::ostringstream label;
            label << "quantile=\"" << point << "\"";
            out << with_label(name, label.str()) << " "
                << seconds(metric->quantile(point)) << "\n";
        }
        out << with_suffix(name, "_sum") << " " << seconds(metric->sum())
            << "\n"
            << with_suffix(name, "_count") << " " << metric->count() << "\n";
    }
    return out.str();
}

} // namespace dandeliontack
