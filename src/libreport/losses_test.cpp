#include <dandeliontack/losses.hpp>

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

std::string
answered(const std::string& id, int time_ms, int took_ms, int status)
{
    return R"({"time_ms":)" + std::to_string(time_ms) +
           R"(,"event":"request_answered","method":"POST","submission":")" +
           id + R"(","route":"r","status":)" + std::to_string(status) +
           R"(,"took_ms":)" + std::to_string(took_ms) + "}";
}

std::string finished(
    const std::string& id, int time_ms, int age_ms, int unplaced_ms,
    int running_ms, int restarts = 0)
{
    return R"({"time_ms":)" + std::to_string(time_ms) +
           R"(,"event":"submission_finished","submission":")" + id +
           R"(","reason":"completed","route":"r","pool":"p","age_ms":)" +
           std::to_string(age_ms) +
           R"(,"objective_ms":2000,"chain_ms":1000,"unplaced_ms":)" +
           std::to_string(unplaced_ms) + R"(,"running_ms":)" +
           std::to_string(running_ms) + R"(,"restarts":)" +
           std::to_string(restarts) + "}";
}

loss_report read(const std::vector<std::string>& lines)
{
    loss_reader reader;
    unsigned line = 0;
    for (const auto& text : lines)
        reader.add("node.log", ++line, text);
    return reader.report();
}

std::uint32_t lost(const loss_report& report, loss_reason reason)
{
    std::uint32_t sum = 0;
    for (const auto& [key, row] : report.rows)
        sum += row.lost.at(static_cast<std::size_t>(reason));
    return sum;
}

} // namespace

TEST(losses, submission_within_its_objective_is_not_lost)
{
    const auto report = read(
        {answered("a", 5010, 10, 200), finished("a", 6900, 1890, 0, 1000)});
    ASSERT_EQ(report.rows.size(), 1U);
    const auto& [key, row] = *report.rows.begin();
    EXPECT_EQ(key.first, "p");
    EXPECT_EQ(key.second, std::chrono::seconds(5));
    EXPECT_EQ(row.in_time, 1U);
}

TEST(losses, reason_is_what_took_the_longest)
{
    const auto report = read(
        {answered("a", 5010, 10, 503), answered("a", 7010, 10, 200),
         finished("a", 8100, 1100, 0, 1000), answered("b", 5010, 10, 200),
         finished("b", 9000, 4000, 2500, 1000), answered("c", 5010, 10, 200),
         finished("c", 9000, 4000, 0, 3500, 2), answered("d", 5010, 10, 200),
         finished("d", 9000, 4000, 0, 3500), answered("e", 5010, 10, 200),
         finished("e", 9000, 4000, 100, 1000), answered("f", 5010, 10, 503),
         answered("g", 5010, 10, 504)});
    EXPECT_EQ(lost(report, loss_reason::admission), 1U);
    EXPECT_EQ(lost(report, loss_reason::no_host), 1U);
    EXPECT_EQ(lost(report, loss_reason::restarts), 1U);
    EXPECT_EQ(lost(report, loss_reason::long_runs), 1U);
    EXPECT_EQ(lost(report, loss_reason::owner_or_store), 1U);
    EXPECT_EQ(lost(report, loss_reason::refused), 1U);
    EXPECT_EQ(lost(report, loss_reason::unanswered), 1U);
    EXPECT_EQ(report.rows.begin()->second.submissions, 7U);
}

TEST(losses, cut_line_is_counted_and_named)
{
    const auto report = read(
        {finished("a", 6900, 1890, 0, 1000), R"({"time_ms":1,"event":"sub)", "",
         "no JSON", "12.5 node-1 " + answered("b", 5010, 10, 503)});
    EXPECT_EQ(report.lines, 4U);
    EXPECT_EQ(report.unreadable, 2U);
    ASSERT_EQ(report.unreadable_lines.size(), 2U);
    EXPECT_EQ(report.unreadable_lines[0].file, "node.log");
    EXPECT_EQ(report.unreadable_lines[0].line, 2U);
    EXPECT_EQ(lost(report, loss_reason::refused), 1U);
    EXPECT_EQ(to_json(report).at("unreadable").to_number<int>(), 2);
}

} // namespace dandeliontack
