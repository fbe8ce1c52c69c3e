// Load: submissions that keep more than their requests look like.

#include "pool_driver.hpp"

#include <gtest/gtest.h>

namespace dandeliontack::test
{

namespace
{

constexpr std::uint32_t tasks = 100;

submission_record schedule()
{
    auto record = pool_driver::make_submission(tasks);
    record.spec.repetitions = 1'000'000;
    record.spec.interval = 1ms;
    return record;
}

pool_terms terms_with(const std::shared_ptr<kept_memory>& memory)
{
    pool_terms terms;
    terms.memory = memory;
    return terms;
}

TEST(kept_memory, texts_and_steps_count_as_they_are_kept)
{
    auto record = pool_driver::make_submission(1);
    const auto small = memory_of(record);
    record.spec.steps[0].label = std::string(100'000, 'l');
    record.spec.steps[0].dependencies.resize(1000);
    const auto large = memory_of(record);
    EXPECT_GE(large.fixed, small.fixed + 104'000);
    EXPECT_EQ(large.occurrence, small.occurrence);
    record.spec.steps[0].count = 1000;
    EXPECT_GE(
        memory_of(record).occurrence,
        large.occurrence + 999 * sizeof(task_state));
}

TEST(kept_memory, occurrences_that_are_all_due_open_as_memory_allows)
{
    const auto memory = std::make_shared<kept_memory>();
    const auto record = schedule();
    const auto needed = memory_of(record);
    constexpr std::uint64_t most_open = 5;
    memory->limit = needed.fixed + most_open * needed.occurrence;
    pool_driver driver(1, terms_with(memory));
    driver.submit(record);
    driver.store();
    driver.tick();
    EXPECT_EQ(driver.engine.state_of(record.id)->occurrences.size(), most_open);
    EXPECT_LE(memory->held, memory->limit);
}

TEST(kept_memory, what_hosts_report_of_tasks_counts)
{
    task_state task;
    EXPECT_EQ(memory_of_reports(task), 0U);
    task.checkpoint = std::string(16, 'c');
    EXPECT_EQ(memory_of_reports(task), 0U);
    task.checkpoint = std::string(60'000, 'c');
    task.failed_runs = {1, 2, 3};
    EXPECT_GE(memory_of_reports(task), 59'000U + 3 * sizeof(std::uint32_t));
}

TEST(kept_memory, what_ends_is_given_back)
{
    const auto memory = std::make_shared<kept_memory>();
    {
        pool_driver driver(1, terms_with(memory));
        const auto record = pool_driver::make_submission(tasks);
        driver.submit(record);
        driver.store();
        EXPECT_GT(memory->held, tasks * sizeof(task_state));
        driver.apply(pool_event::cancelled{record.id});
        driver.store();
        EXPECT_EQ(memory->held, finished_submission_bytes);
        driver.advance(pool_terms{}.finished_retention + 1s);
        driver.tick();
        EXPECT_EQ(memory->held, 0U);
        auto other = pool_driver::make_submission(tasks);
        driver.submit(other);
    }
    EXPECT_EQ(memory->held, 0U);
}

} // namespace

} // namespace dandeliontack::test
