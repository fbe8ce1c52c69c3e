#include <dandeliontack/report.hpp>

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

using namespace dandeliontack;
using namespace std::chrono_literals;

constexpr std::uint16_t first_port = 9000;

std::string requests(std::string_view result, unsigned count)
{
    return "tack_service_requests_total{service=\"citations\",version=\"1\","
           "pool=\"registry\",result=\"" +
           std::string(result) + "\"} " + std::to_string(count) + "\n";
}

process_sample entry_sample(
    std::chrono::milliseconds time, const std::string& metrics,
    std::uint16_t port = first_port)
{
    process_sample sample;
    sample.time = std::chrono::sys_time<std::chrono::milliseconds>(time);
    sample.address.port = port;
    sample.metrics = parse_metrics(metrics);
    sample.status = {{"has_table", true}};
    return sample;
}

report_settings settings()
{
    return {0.9, 1min, 10min};
}

TEST(report_samples, a_line_comes_back_as_it_was)
{
    const std::chrono::sys_time<std::chrono::milliseconds> time(123ms);
    const auto line = to_line(
        time, {"127.0.0.1", first_port}, process_role::control,
        "a{b=\"c\"} 2\n", {{"node", "n"}});
    const auto parsed = parse_samples("f", line);
    const auto& samples = std::get<std::vector<process_sample>>(parsed);
    ASSERT_EQ(samples.size(), 1U);
    EXPECT_EQ(samples[0].time, time);
    EXPECT_EQ(samples[0].role, process_role::control);
    ASSERT_EQ(samples[0].metrics.size(), 1U);
    EXPECT_EQ(samples[0].metrics[0].label("b"), "c");
    EXPECT_EQ(samples[0].metrics[0].value, 2);
}

TEST(report_samples, lines_that_are_no_samples_are_found_together)
{
    const auto parsed = parse_samples("f", "{}\nx\n");
    const auto& found = std::get<findings>(parsed);
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[1].line, 2U);
}

TEST(report, burn_counts_all_that_was_not_answered)
{
    const auto r = make_report(
        {entry_sample(0s, requests("answered", 0)),
         entry_sample(
             30s, requests("answered", 80) + requests("failed", 5) +
                      requests("not-run", 10) + requests("unknown", 5))},
        settings());
    ASSERT_EQ(r.services.size(), 1U);
    const auto& level = r.services[0].level;
    EXPECT_DOUBLE_EQ(level.counts.total(), 100);
    // 20 of 100 are bad where 10 are allowed.
    EXPECT_NEAR(level.budget_used, 2, 1e-9);
    EXPECT_NEAR(level.short_rate.value(), 2, 1e-9);
    EXPECT_EQ(r.pools.at(0).pool, "registry");
    EXPECT_NEAR(r.pools.at(0).level.budget_used, 2, 1e-9);
}

TEST(report, a_window_leaves_out_what_is_older)
{
    const auto r = make_report(
        {entry_sample(0s, requests("unknown", 0)),
         entry_sample(60s, requests("unknown", 10)),
         entry_sample(
             150s, requests("unknown", 10) + requests("answered", 10))},
        settings());
    const auto& level = r.services.at(0).level;
    EXPECT_NEAR(level.short_rate.value(), 0, 1e-9);
    EXPECT_NEAR(level.long_rate.value(), 5, 1e-9);
}

TEST(report, what_was_counted_before_the_first_sample_has_no_rate)
{
    const auto r =
        make_report({entry_sample(5s, requests("unknown", 7))}, settings());
    EXPECT_EQ(r.services.at(0).level.counts.unknown, 7);
    EXPECT_FALSE(r.services.at(0).level.short_rate);
}

RC_GTEST_PROP(report, restarts_of_processes_lose_no_request, ())
{
    std::vector<process_sample> samples;
    double expected = 0;
    for (std::uint16_t process = 0; process < 3; ++process)
    {
        unsigned counted = 0;
        for (int step = 0; step < 6; ++step)
        {
            // A restart is seen where the count afterwards is lower.
            if (counted > 0 && *rc::gen::arbitrary<bool>())
                counted = *rc::gen::inRange(0U, counted);
            else
            {
                const auto more = *rc::gen::inRange(0U, 50U);
                counted += more;
                expected += more;
                samples.push_back(entry_sample(
                    std::chrono::seconds(step), requests("answered", counted),
                    std::uint16_t(first_port + process)));
                continue;
            }
            expected += counted;
            samples.push_back(entry_sample(
                std::chrono::seconds(step), requests("answered", counted),
                std::uint16_t(first_port + process)));
        }
    }
    const auto r = make_report(samples, settings());
    RC_ASSERT(r.services.at(0).level.counts.answered == expected);
}

process_sample control_sample(std::uint16_t port, const char* hash)
{
    process_sample sample;
    sample.role = process_role::control;
    sample.address.port = port;
    sample.status = {
        {"node", "c"},
        {"system_end", 7},
        {"operators_end", 3},
        {"state_hash", hash},
        {"pools", boost::json::array{boost::json::object{
                      {"name", "registry"},
                      {"hosts", boost::json::array{"w1", "w2", "w3"}},
                      {"budget_hosts", 2}}}},
        {"services", boost::json::array{boost::json::object{
                         {"name", "citations"},
                         {"schema_version", 2},
                         {"pool", "registry"}}}}};
    return sample;
}

TEST(report, different_states_at_one_offset_are_an_alarm)
{
    EXPECT_FALSE(
        make_report({control_sample(1, "a"), control_sample(2, "a")}, {})
            .diverged);
    const auto r =
        make_report({control_sample(1, "a"), control_sample(2, "b")}, {});
    EXPECT_TRUE(r.diverged);
    EXPECT_NE(to_text(r).find("ALARM"), std::string::npos);
}

TEST(report, old_versions_and_buffers_are_shown)
{
    const auto r = make_report(
        {control_sample(1, "a"), entry_sample(1s, requests("answered", 3))},
        settings());
    ASSERT_EQ(r.services.size(), 2U);
    EXPECT_TRUE(r.services[0].old_version);
    EXPECT_FALSE(r.services[1].old_version);
    EXPECT_EQ(r.pools.at(0).buffer_hosts(), 1U);
}

TEST(report, the_page_needs_nothing_from_elsewhere)
{
    const auto page = to_html(make_report(
        {control_sample(1, "<b>"), entry_sample(0s, requests("answered", 3)),
         entry_sample(9s, requests("unknown", 3))},
        settings()));
    EXPECT_EQ(page.find("src="), std::string::npos);
    EXPECT_EQ(page.find("http"), std::string::npos);
    EXPECT_EQ(page.find("<script"), std::string::npos);
    EXPECT_EQ(page.find("<b></td>"), std::string::npos);
    EXPECT_NE(page.find("&lt;b&gt;"), std::string::npos);
}

} // namespace
