#include <dandeliontack/config_file.hpp>
#include <dandeliontack/host_list.hpp>
#include <dandeliontack/record_codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

using namespace dandeliontack;

event make_event(event_body body)
{
    event e;
    e.origin = {log_stream::operators, 5, {1, 2}, 3, 4};
    e.time = std::chrono::sys_time<std::chrono::milliseconds>(
        std::chrono::milliseconds(77));
    e.body = std::move(body);
    return e;
}

findings malformed(const event& e)
{
    const auto* order = std::get_if<order_event>(&e.body);
    const auto* found = order ? std::get_if<record_malformed>(order) : nullptr;
    return found ? found->found : findings{};
}

TEST(record_codec, a_record_comes_back_as_it_was)
{
    service_config service{
        {"citations", 3}, "registry", std::chrono::milliseconds(1500)};
    const auto bytes = encode_record(
        make_event(config_event{service_published{"awa", 2, service}}));
    const auto back = decode_record(log_stream::operators, 5, bytes);
    EXPECT_EQ(back.origin.writer, (incarnation{1, 2}));
    EXPECT_EQ(back.origin.sequence, 3U);
    EXPECT_EQ(back.origin.term, 4U);
    EXPECT_EQ(back.time.time_since_epoch().count(), 77);
    const auto& config = std::get<config_event>(back.body);
    const auto& published = std::get<service_published>(config);
    EXPECT_EQ(published.publisher, "awa");
    EXPECT_EQ(published.base, 2U);
    EXPECT_EQ(published.config, service);
}

TEST(record_codec, all_findings_of_a_bad_record_come_with_their_place)
{
    pool_config pool;
    pool.name = "Not A Name";
    pool.hosts = {"h1", "h1"};
    pool.budget_hosts = 9;
    const auto bytes =
        encode_record(make_event(config_event{pool_published{"awa", 0, pool}}));
    const auto found =
        malformed(decode_record(log_stream::operators, 8, bytes));
    ASSERT_EQ(found.size(), 3U);
    EXPECT_EQ(found[0].file, "operators@8");
    EXPECT_EQ(found[1].message, "names a host twice");
}

TEST(record_codec, configuration_belongs_on_the_operators_stream)
{
    const auto bytes =
        encode_record(make_event(order_event{operators_ordered{4}}));
    EXPECT_FALSE(
        malformed(decode_record(log_stream::operators, 0, bytes)).empty());
    EXPECT_TRUE(malformed(decode_record(log_stream::system, 0, bytes)).empty());
}

RC_GTEST_PROP(record_codec, any_bytes_decode_or_are_found_malformed, ())
{
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const auto e = decode_record(log_stream::system, 1, bytes);
    RC_ASSERT(e.origin.sequence != 0 || !malformed(e).empty());
}

checked<std::vector<config_event>> parse(const std::string& text)
{
    return parse_config_file(std::get<ini_document>(parse_ini("c.ini", text)));
}

TEST(config_file, pools_and_services_are_read)
{
    const auto parsed =
        parse("[pool registry]\nhosts = w1, w2\nbudget_hosts = 1\n"
              "when_stale = refuse\n[service citations 2]\npool = registry\n");
    const auto& events = std::get<std::vector<config_event>>(parsed);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(subject_of(events[0]), "pool registry");
    EXPECT_EQ(subject_of(events[1]), "service citations 2");
    EXPECT_EQ(
        std::get<pool_published>(events[0]).config.when_stale,
        stale_policy::refuse);
}

TEST(config_file, findings_come_together_with_their_lines)
{
    const auto parsed = parse(
        "[pool a]\nhosts = w1\nbudget_hosts = 2\n[service b]\ndeadline = 1s\n"
        "[thing]\n");
    EXPECT_EQ(
        to_string(std::get<findings>(parsed)),
        "c.ini:1: pool a: budget_hosts is larger than the number of hosts\n"
        "c.ini:4: service b.pool: missing key\n"
        "c.ini:6: thing: must be [pool NAME], [service NAME [VERSION]], [wave "
        "NAME], "
        "[team NAME] or [job NAME]\n");
}

TEST(host_list, hosts_are_read_and_bad_lists_are_refused)
{
    const auto good = parse_host_list(
        R"({"hosts": [{"name": "w1", "address": "127.0.0.1:9",
            "state": "leaving", "slots": 4}]})");
    const auto& hosts = std::get<std::vector<listed_host>>(good);
    ASSERT_EQ(hosts.size(), 1U);
    EXPECT_EQ(hosts[0].listed, listing::leaving);
    EXPECT_EQ(hosts[0].slots, 4U);
    for (const auto* bad :
         {"", "[]", "{}", R"({"hosts": [{}]})",
          R"({"hosts": [{"name": "a", "address": "x", "state": "live"}]})"})
        EXPECT_TRUE(
            std::holds_alternative<host_list_failed>(parse_host_list(bad)))
            << bad;
}

} // namespace
