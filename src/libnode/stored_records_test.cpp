#include <dandeliontack/stored_records.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

submission_record record()
{
    submission_record out;
    out.id = 0xabcdef;
    out.spec.text = std::string("\0text", 5);
    step_spec step;
    step.count = 3;
    step.need = {500, 256, 1};
    step.estimate = 900ms;
    step.checkpoints = true;
    step.rack = "r1";
    step.max_unavailable = 1;
    out.spec.steps = {step, step};
    out.spec.steps[1].dependencies = {0};
    out.terms = {
        "route", "pool", 1, 3, 1.6, 600ms, advice_terms{1ms, 2ms, 3ms}};
    out.accepted = wall_time(1'700'000'000'000ms);
    out.epoch = 4;
    return out;
}

} // namespace

TEST(stored_records, submission_round_trips)
{
    EXPECT_EQ(decode_submission_record(encode(record())), record());
}

TEST(stored_records, task_progress_round_trips)
{
    submission_state before;
    before.record = record();
    auto& steps = before.occurrences[0].steps;
    steps.resize(2);
    steps[0].tasks.resize(3);
    steps[1].tasks.resize(3);
    steps[0].tasks[0].phase = task_phase::done;
    steps[0].tasks[0].recorded_run = 1;
    steps[0].tasks[1].phase = task_phase::recording;
    steps[0].tasks[1].ended_done = true;
    steps[0].tasks[1].recorded_run = 2;
    steps[0].tasks[2].failed_runs = {1};
    steps[0].tasks[2].recorded_run = 1;
    steps[0].tasks[2].checkpoint = "c";
    const auto stored = decode_progress(
        before.record.id,
        encode(progress_of(before, progress_part{before.record.id, 0, 0})));
    ASSERT_TRUE(stored);
    submission_state after;
    after.record = record();
    apply_progress(*stored, after);
    const auto& tasks = after.occurrences.at(0).steps[0].tasks;
    EXPECT_EQ(tasks[0].phase, task_phase::done);
    EXPECT_EQ(tasks[1].phase, task_phase::done);
    EXPECT_EQ(tasks[2].phase, task_phase::waiting);
    EXPECT_EQ(tasks[2].failed_runs, std::set<std::uint32_t>{1});
    EXPECT_EQ(tasks[2].checkpoint, "c");
}

TEST(stored_records, host_use_round_trips)
{
    const host_use use{"i-1", 5ms, "pool", "127.0.0.1:1", true, {{7, 0, 1, 2}}};
    const auto back = decode_host_use(encode(use));
    ASSERT_TRUE(back);
    EXPECT_TRUE(back->closed);
    EXPECT_EQ(back->tasks, use.tasks);
    EXPECT_EQ(back->born, 5ms);
}

// Decoders must not crash on arbitrary bytes. Progress that names tasks outside
// the submission's steps, which only corrupted data does, must not access
// memory outside them.
RC_GTEST_PROP(
    stored_records, decoders_accept_arbitrary_bytes, (const std::string& bytes))
{
    decode_submission_record(bytes);
    decode_host_use(bytes);
    decode_announcement(bytes);
    decode_owner(bytes);
    decode_wave_record(bytes);
    decode_demands(bytes);
    if (const auto progress = decode_progress(1, bytes))
    {
        submission_state s;
        s.record = record();
        apply_progress(*progress, s);
    }
}

// Guards against times near the ends of their type, which overflow once they
// are compared with others.
TEST(stored_records, records_with_impossible_times_are_unreadable)
{
    constexpr auto far = std::chrono::milliseconds::max();
    auto submission = record();
    submission.accepted = wall_time(far);
    EXPECT_FALSE(decode_submission_record(encode(submission)));
    submission = record();
    submission.spec.steps[0].estimate = -far;
    EXPECT_FALSE(decode_submission_record(encode(submission)));
    submission = record();
    submission.spec.repetitions = 4'000'000'000;
    submission.spec.interval = 100h;
    EXPECT_FALSE(decode_submission_record(encode(submission)));
    EXPECT_FALSE(
        decode_host_use(encode(host_use{"i", far, "p", "a", false, {}})));
    node_announcement announcement;
    announcement.name = "n";
    announcement.at = wall_time(-far);
    EXPECT_FALSE(decode_announcement(encode(announcement)));
}

// Load pattern: nodes of two versions during an update.
TEST(stored_records, allotments_travel_beside_demands_and_loans)
{
    const allotment_call call{7, 9, 3, 12, true, {{"acme", {4000, 512, 1}}}};
    const lent_hosts lent{{"pool", 2}};
    const auto asked = encode(lent) + encode(call);
    EXPECT_EQ(decode_allotment_call(asked), call);
    EXPECT_EQ(decode_lent_hosts(asked), lent);
    EXPECT_EQ(decode_allotment_call(encode(lent)), std::nullopt);
    const allotment_report report{
        3,
        7,
        9,
        12,
        true,
        false,
        {{"acme", {4000, 512, 1}, {100, 0, 0}, {200, 5, 0}, {50, 1, 0}}}};
    std::vector<pool_demand> demands(1);
    demands[0].pool = "pool";
    const auto answered = encode(demands) + encode(report);
    EXPECT_EQ(decode_allotment_report(answered), report);
    EXPECT_EQ(decode_demands(answered), demands);
    EXPECT_EQ(decode_allotment_report(encode(demands)), std::nullopt);
}

} // namespace dandeliontack
