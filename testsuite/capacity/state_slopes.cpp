#include "state_slopes.hpp"

#include "control.pb.h"
#include "routing_codec.hpp"
#include "usage.hpp"
#include <dandeliontack/host_list.hpp>
#include <dandeliontack/record_codec.hpp>
#include <dandeliontack/reducer.hpp>
#include <dandeliontack/report_sample.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>
#include <ranges>

namespace dandeliontack::capacity
{

namespace
{

using body_maker = std::function<event_body(unsigned)>;

constexpr std::array counts{1000U, 2000U, 4000U};
constexpr unsigned writers_until_full = 5000;
constexpr unsigned repeats = 50;
constexpr unsigned hosts_a_pool = 6;
constexpr std::uint64_t leader_term = 1;

std::string numbered(std::string_view kind, unsigned number)
{
    return std::string(kind) + "-" + std::to_string(number);
}

event_body host_body(unsigned i)
{
    return fleet_event{host_observed{
        numbered("worker-host", i), listing::live, numbered("dc", i % 8),
        numbered("rack", i / 4), 64, 262144, 2}};
}

event_body pool_body(unsigned i)
{
    pool_config config;
    config.name = numbered("pool-of-hosts", i);
    for (unsigned host = 0; host < hosts_a_pool; ++host)
        config.hosts.push_back(
            numbered("worker-host", i * hosts_a_pool + host));
    config.budget_hosts = hosts_a_pool - 1;
    return config_event{pool_published{"operator", 0, config}};
}

event_body service_body(unsigned i, unsigned pools)
{
    service_config config;
    config.key = {numbered("service", i / 2), i % 2 + 1};
    config.pool = numbered("pool-of-hosts", i % pools);
    return config_event{service_published{"operator", 0, config}};
}

event_body team_body(unsigned i)
{
    return config_event{team_published{
        "operator", 0, {numbered("team-of-people", i), 640, 1048576, 10}}};
}

event_body job_body(unsigned i)
{
    job_config config;
    config.name = numbered("archive-rebuild", i);
    config.team = "team-of-people-0";
    config.pool = "pool-of-hosts-0";
    config.kind = "archive-rebuild";
    return config_event{job_published{"operator", 0, config}};
}

// A writer of its own for each event where `each_new` is set.
class record_writer
{
public:
    explicit record_writer(bool each_new = false) : each_new_(each_new) {}

    event next(event_body body)
    {
        ++written_;
        const auto writer = each_new_ ? written_ : 1;
        const std::uint64_t term =
            std::holds_alternative<fleet_event>(body) ? leader_term : 0;
        return {
            {log_stream::operators, written_ - 1, {1, writer}, written_, term},
            {},
            std::move(body)};
    }

private:
    bool each_new_;
    std::uint64_t written_ = 0;
};

void apply_all(state& s, const std::vector<event>& events)
{
    for (const auto& e : events)
    {
        // Each writer of a decision leads, so that it holds.
        if (e.origin.term != 0)
            s.membership.term = {leader_term, e.origin.writer, 0};
        s = reduce(std::move(s), e).next;
    }
}

std::vector<event>
make_events(record_writer& writer, unsigned count, const body_maker& make)
{
    std::vector<event> events;
    events.reserve(count);
    for (unsigned i = 0; i < count; ++i)
        events.push_back(writer.next(make(i)));
    return events;
}

state base_state()
{
    state s;
    record_writer writer;
    apply_all(s, make_events(writer, 1, pool_body));
    apply_all(s, make_events(writer, 1, team_body));
    return s;
}

// Applies 1,000, 2,000 and 4,000 events and fits lines through what they cost.
value_cost
measure_value(const state& base, const body_maker& make, bool new_writers)
{
    std::vector<sample> heap;
    std::vector<sample> time;
    double record = 0;
    for (const auto count : counts)
    {
        record_writer writer(new_writers);
        for (int i = 0; i < 2; ++i)
            writer.next(team_body(0));
        const auto events = make_events(writer, count, make);
        auto s = base;
        const auto heap_before = heap_bytes();
        const auto started = thread_processor_time();
        apply_all(s, events);
        const auto used = thread_processor_time() - started;
        heap.push_back(
            {double(count), double(heap_bytes()) - double(heap_before)});
        time.push_back({double(count), double(used.count())});
        record = double(encode_record(events.back()).size());
    }
    return {fit_line(heap), fit_line(time), record};
}

double mean_ns(const std::function<void()>& action)
{
    const auto started = thread_processor_time();
    for (unsigned i = 0; i < repeats; ++i)
        action();
    return double((thread_processor_time() - started).count()) / repeats;
}

// A state of a given size whose table of writers is full.
state state_of_size(const fleet_size& size)
{
    state s;
    record_writer writer(true);
    const auto pools = unsigned(size.pools);
    apply_all(s, make_events(writer, pools, pool_body));
    apply_all(s, make_events(writer, unsigned(size.teams), team_body));
    apply_all(s, make_events(writer, unsigned(size.services), [&](unsigned i) {
                  return service_body(i, pools);
              }));
    apply_all(s, make_events(writer, unsigned(size.hosts), host_body));
    // Publishing the same again is rejected, and its writer noted.
    apply_all(s, make_events(writer, writers_until_full, [](unsigned) {
                  return team_body(0);
              }));
    return s;
}

fleet_size scaled(fleet_size size, double factor)
{
    for (auto member :
         {&fleet_size::hosts, &fleet_size::pools, &fleet_size::services,
          &fleet_size::teams})
        size.*member *= factor;
    return size;
}

std::vector<listed_host> make_hosts(unsigned count)
{
    std::vector<listed_host> hosts;
    for (unsigned i = 0; i < count; ++i)
    {
        listed_host host;
        host.name = numbered("worker-host", i);
        host.address = {"10.1.2.3", std::uint16_t(8000 + i % 1000)};
        host.data_centre = numbered("dc", i % 8);
        hosts.push_back(std::move(host));
    }
    return hosts;
}

std::string host_list_text(unsigned count)
{
    boost::json::array hosts;
    for (const auto& host : make_hosts(count))
        hosts.push_back(
            {{"name", host.name},
             {"address", to_string(host.address)},
             {"state", "live"},
             {"data_centre", host.data_centre},
             {"slots", host.slots},
             {"connections", host.connections}});
    return boost::json::serialize(boost::json::object{{"hosts", hosts}});
}

double upstreams_in(const routing_table& table)
{
    return std::accumulate(
        table.routes.begin(), table.routes.end(), 0.0,
        [](double sum, const auto& item) {
            return sum + double(item.second.upstreams.size());
        });
}

void measure_hash_and_table(const fleet_size& size, state_slopes& out)
{
    std::vector<sample> hash;
    std::vector<sample> bytes;
    std::vector<sample> time;
    for (const double factor : {0.5, 1.0, 2.0, 4.0})
    {
        const auto before = heap_bytes();
        const auto s = state_of_size(scaled(size, factor));
        const auto heap = double(heap_bytes()) - double(before);
        const auto hosts = make_hosts(unsigned(size.hosts * factor));
        const auto table = make_routing_table(s, hosts);
        const auto upstreams = upstreams_in(table);
        hash.push_back({heap, mean_ns([&] { hash_of(s); })});
        bytes.push_back(
            {upstreams, double(to_wire(table).SerializeAsString().size())});
        time.push_back(
            {upstreams, mean_ns([&] {
                 to_wire(make_routing_table(s, hosts)).SerializeAsString();
             })});
        if (factor == 1.0)
        {
            out.heap_at_size = heap;
            out.hash_at_size_ns = hash.back().value;
            out.table_bytes_at_size = bytes.back().value;
            out.table_ns_at_size = time.back().value;
        }
    }
    out.hash_ns = fit_line(hash);
    out.table_bytes = fit_line(bytes);
    out.table_ns = fit_line(time);
}

void measure_host_list(state_slopes& out)
{
    std::vector<sample> bytes;
    std::vector<sample> time;
    for (const auto count : {135U, 270U, 540U, 1080U})
    {
        const auto text = host_list_text(count);
        bytes.push_back({double(count), double(text.size())});
        time.push_back(
            {double(count), mean_ns([&] { parse_host_list(text); })});
    }
    out.host_list_bytes = fit_line(bytes);
    out.host_list_ns = fit_line(time);
}

// Applies one body again and again, each time from a new writer.
double mean_apply_ns(const fleet_size& size, const body_maker& make)
{
    auto s = state_of_size(size);
    std::uint64_t number = 1'000'000;
    return mean_ns([&] {
        ++number;
        const event e{
            {log_stream::operators, number, {2, number}, 1, 0},
            {},
            make(unsigned(number))};
        s = reduce(std::move(s), e).next;
    });
}

// A change of the last pool, based on the revision in force.
event_body next_pool_body(const fleet_size& size, std::uint64_t base)
{
    auto body = pool_body(unsigned(size.pools) - 1);
    auto& change = std::get<pool_published>(std::get<config_event>(body));
    change.base = base;
    return body;
}

std::string metrics_page(const fleet_size& size)
{
    std::string page;
    for (unsigned i = 0; i < unsigned(size.services); ++i)
        for (const auto* result : {"answered", "unknown"})
            page += "tack_service_requests_total{service=\"" +
                    numbered("service", i / 2) + "\",version=\"" +
                    std::to_string(i % 2 + 1) + "\",pool=\"" +
                    numbered("pool-of-hosts", i / 2) + "\",result=\"" + result +
                    "\"} 123456\n";
    return page;
}

double measure_report_sample(const fleet_size& size)
{
    constexpr unsigned count = 20;
    std::string lines;
    for (unsigned i = 0; i < count; ++i)
        lines += to_line(
            {}, {"127.0.0.1", 1}, process_role::entry, metrics_page(size), {});
    const auto before = heap_bytes();
    const auto samples = parse_samples("samples", lines);
    return (double(heap_bytes()) - double(before)) / count;
}

} // namespace

state_slopes measure_state(const fleet_size& size)
{
    const auto base = base_state();
    const auto from_one = [](auto make) {
        return [make](unsigned i) { return make(i + 1); };
    };
    state_slopes out;
    out.host = measure_value(base, host_body, false);
    out.pool = measure_value(base, from_one(pool_body), false);
    out.service = measure_value(
        base, [](unsigned i) { return service_body(i, 1); }, false);
    out.team = measure_value(base, from_one(team_body), false);
    out.job = measure_value(base, job_body, false);
    out.writer = measure_value(base, host_body, true);
    out.writer.heap.slope -= out.host.heap.slope;
    measure_hash_and_table(size, out);
    measure_host_list(out);
    out.report_sample_bytes = measure_report_sample(size);
    out.apply_at_size_ns =
        mean_apply_ns(size, [](unsigned) { return team_body(0); });
    std::uint64_t revision = 0;
    out.apply_pool_at_size_ns = mean_apply_ns(
        size, [&](unsigned) { return next_pool_body(size, ++revision); });
    return out;
}

} // namespace dandeliontack::capacity
