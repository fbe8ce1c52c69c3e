// Tests that whatever an engine stores fits the store's records and calls, and
// that a successor goes on from any prefix of it.

#include <dandeliontack/append_split.hpp>
#include <dandeliontack/shard_records.hpp>
#include <dandeliontack/stored_records.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t record_bytes = 128 * 1024;
constexpr std::size_t call_bytes = 256 * 1024;
constexpr std::uint64_t id = 0x11;

// A shard with one large host that runs all tasks at once. What the engine
// stores goes to `stored`, call by call.
class shard
{
public:
    explicit shard(
        std::uint64_t epoch, std::map<std::string, std::string> from,
        moment at = {boot_time(1h), wall_time(1h)})
        : stored(std::move(from)), engine(pool_terms{}, epoch), now(at)
    {
        std::vector<keyed_record> records;
        records.reserve(stored.size());
        for (const auto& [key, value] : stored)
            records.push_back({key, value, 0});
        orphans = restore_engine(engine, records, now).orphans;
        engine.begin(now);
        host_entry host;
        host.id = "a";
        host.born = 1ms;
        host.address = "127.0.0.1:1";
        host.pool = "pool";
        host.capacity = {1'000'000'000, 1'000'000'000, 0};
        apply(pool_event::hosts_listed{{host}});
        store();
        hold({});
    }

    pool_effects apply(const pool_event_body& event)
    {
        return engine.apply(event, now);
    }

    void hold(std::vector<ended_row> ended)
    {
        host_report report;
        report.clock = now.steady.time_since_epoch();
        report.ended = std::move(ended);
        apply(pool_event::host_reported{"a", 1ms, now.steady, report});
        engine.extend_lease("a", now);
    }

    // Stores the changes of the engine. With `calls`, only so many calls
    // succeed, and the engine is not told.
    void store(std::size_t calls = SIZE_MAX)
    {
        const auto changes = engine.take_changes();
        auto records = records_of(engine, changes, record_bytes);
        for (const auto& record : records)
            RC_ASSERT(
                stored_size(record) <= record_bytes &&
                record.key.size() <= 255U);
        std::size_t sent = 0;
        for (auto& call : split_by_size(std::move(records), call_bytes))
        {
            std::size_t bytes = 0;
            for (const auto& record : call)
                bytes += stored_size(record);
            RC_ASSERT(bytes <= call_bytes);
            if (sent++ >= calls)
                return;
            for (auto& record : call)
                if (record.value.empty())
                    stored.erase(record.key);
                else
                    stored[record.key] = std::move(record.value);
        }
        apply(pool_event::batch_stored{changes.batch});
    }

    // Starts what can be started; returns the runs.
    std::vector<std::pair<task_ref, std::uint32_t>> start()
    {
        now.steady += 500ms;
        now.wall += 500ms;
        hold({});
        std::vector<std::pair<task_ref, std::uint32_t>> runs;
        // A host gets some starts at a time.
        for (std::size_t answered = SIZE_MAX; answered != runs.size();)
        {
            answered = runs.size();
            for (const auto& effect : apply(pool_event::tick{}))
                if (const auto* order =
                        std::get_if<pool_effect::start>(&effect))
                    runs.emplace_back(order->task, order->run);
            for (auto at = answered; at < runs.size(); ++at)
                apply(pool_event::start_answered{
                    "a", 1ms, runs[at].first, runs[at].second,
                    start_answer::started, now.steady.time_since_epoch()});
        }
        return runs;
    }

    std::map<std::string, std::string> stored;
    std::vector<std::string> orphans;
    pool_engine engine;
    moment now;
    std::uint64_t ends = 0;
};

submission_record submission(std::vector<std::uint32_t> counts)
{
    submission_record out;
    out.id = id;
    out.terms.route = "route";
    out.terms.pool = "pool";
    out.terms.max_attempts = 2000;
    for (const auto count : counts)
    {
        step_spec step;
        step.count = count;
        step.need = {1, 1, 0};
        step.estimate = 10ms;
        step.checkpoints = true;
        if (!out.spec.steps.empty())
            step.dependencies = {
                static_cast<std::uint32_t>(out.spec.steps.size()) - 1};
        out.spec.steps.push_back(step);
    }
    return out;
}

} // namespace

// Some tasks fail, with short and with long checkpoints; the owner is lost
// again and again, at any point between the calls of a batch.
RC_GTEST_PROP(shard_records, every_prefix_of_what_is_stored_goes_on, ())
{
    auto record = submission(*rc::gen::container<std::vector<std::uint32_t>>(
        *rc::gen::inRange<std::size_t>(1, 4),
        rc::gen::inRange<std::uint32_t>(1, 1500)));
    record.spec.repetitions = *rc::gen::element(0U, 0U, 3U);
    record.spec.interval = 5ms;
    record.spec.first_due = wall_time(1h);
    shard owner(1, {});
    owner.apply(pool_event::submitted{record});
    owner.store();
    std::set<task_ref> done;
    std::uint64_t epoch = 1;
    constexpr int rounds = 200;
    constexpr int faulty_rounds = 40;
    for (int round = 0; round < rounds && owner.engine.active() > 0; ++round)
    {
        const auto runs = owner.start();
        std::vector<ended_row> ended;
        std::vector<task_ref> ended_done;
        for (const auto& [task, run] : runs)
        {
            // No end that was acknowledged may be forgotten.
            RC_ASSERT(!done.contains(task));
            ended_row row{++owner.ends, task, run, run_outcome::done, {}};
            const auto luck = *rc::gen::inRange(0, 100);
            if (luck < 6 && round < faulty_rounds)
                row.outcome = run_outcome::failed;
            if (luck == 0)
                row.checkpoint.resize(*rc::gen::inRange(1, 60'000), 'c');
            if (row.outcome == run_outcome::done)
                ended_done.push_back(task);
            ended.push_back(std::move(row));
        }
        owner.hold(std::move(ended));
        if (round >= faulty_rounds || *rc::gen::inRange(0, 4) > 0)
        {
            owner.store();
            done.insert(ended_done.begin(), ended_done.end());
            continue;
        }
        owner.store(*rc::gen::inRange<std::size_t>(0, 4));
        owner = shard(++epoch, std::move(owner.stored), owner.now);
        owner.now.steady += pool_terms{}.leases.takeover_wait() + 1s;
        owner.now.wall += pool_terms{}.leases.takeover_wait() + 1s;
        owner.apply(pool_event::tick{});
    }
    owner.store();
    RC_ASSERT(owner.engine.find(id)->phase == submission_phase::completed);
    // Nothing of a submission that is over is left but its result.
    for (const auto& key : shard(++epoch, owner.stored, owner.now).orphans)
        owner.stored.erase(key);
    owner.stored.erase(host_key("a"));
    RC_ASSERT(owner.stored.size() == 1U);
}

// Guards against records that grow with a submission: at 27,000 tasks the
// record of progress no longer fitted, and its pool stood still for good.
TEST(shard_records, large_submission_is_stored_in_parts)
{
    shard owner(1, {});
    owner.apply(pool_event::submitted{submission({9000, 30'000, 1})});
    owner.store();
    while (owner.engine.active() > 0)
    {
        std::vector<ended_row> ended;
        for (const auto& [task, run] : owner.start())
            ended.push_back({++owner.ends, task, run, run_outcome::done, {}});
        ASSERT_FALSE(ended.empty());
        owner.hold(std::move(ended));
        owner.store();
    }
    EXPECT_EQ(owner.engine.find(id)->phase, submission_phase::completed);
}

// A host that is closed with too many tasks for one record is stored as open: a
// successor then waits for it with every task.
TEST(shard_records, list_of_tasks_that_does_not_fit_is_left_out)
{
    shard owner(1, {});
    owner.apply(pool_event::submitted{submission({9500, 9500})});
    owner.store();
    auto record = submission({9500});
    record.id = 2;
    owner.apply(pool_event::submitted{record});
    owner.store();
    EXPECT_EQ(owner.start().size(), 19'000U);
    owner.engine.begin_handover();
    owner.store();
    const auto use = decode_host_use(owner.stored.at(host_key("a")));
    ASSERT_TRUE(use);
    EXPECT_FALSE(use->closed);
}

// Guards against a hand-over that is cut between two calls: the host's record
// said that it has no run of the task, and the end of that run was not stored.
TEST(shard_records, host_without_a_run_is_not_stored_before_the_end_of_the_run)
{
    shard owner(1, {});
    owner.apply(pool_event::submitted{submission({1})});
    owner.store();
    ASSERT_EQ(owner.start().size(), 1U);
    owner.hold({{1, {id, 0, 0, 0}, 1, run_outcome::done, {}}});
    owner.engine.begin_handover();
    auto records =
        records_of(owner.engine, owner.engine.take_changes(), record_bytes);
    records.pop_back();
    for (auto& record : records)
        owner.stored[record.key] = record.value;
    const auto use = decode_host_use(owner.stored.at(host_key("a")));
    ASSERT_TRUE(use);
    EXPECT_FALSE(use->closed);
    EXPECT_TRUE(owner.stored.contains(progress_key({id, 0, 0})));
}

// Records of earlier versions say that a long-running task which ended as done
// is done, by itself or by its place in a part.
TEST(shard_records, long_running_task_that_is_stored_as_done_goes_on)
{
    for (const auto count : {1U, 2U})
    {
        auto record = submission({count});
        shard owner(1, {});
        owner.apply(pool_event::submitted{record});
        owner.store();
        ASSERT_EQ(owner.start().size(), count);
        owner.hold({{1, {id, 0, 0, 0}, 1, run_outcome::done, {}}});
        owner.store();
        // The parts are those of a submission whose tasks end.
        record.spec.steps[0].long_running = true;
        auto stored = owner.stored;
        stored[submission_key(id)] = encode(record);
        progress_record progress;
        progress.done_bits = "\x01";
        progress.tasks = {{{id, 0, 0, 0}, true, {}, 0, 1, {}}};
        for (const auto& form : {true, false})
        {
            auto as_stored = progress;
            if (form)
                as_stored.done_bits.clear();
            else
                as_stored.tasks.clear();
            stored[progress_key({id, 0, 0})] = encode(as_stored);
            shard successor(2, stored, owner.now);
            ASSERT_TRUE(successor.engine.state_of(id));
            EXPECT_EQ(successor.start().size(), count);
        }
    }
}

// Past occurrences of a schedule leave nothing but their numbers.
TEST(shard_records, past_occurrences_take_no_room)
{
    auto record = submission({300});
    record.spec.repetitions = 100;
    record.spec.interval = 400ms;
    record.spec.first_due = wall_time(1h);
    shard owner(1, {});
    owner.apply(pool_event::submitted{record});
    owner.store();
    std::size_t most = 0;
    while (owner.engine.active() > 0)
    {
        std::vector<ended_row> ended;
        for (const auto& [task, run] : owner.start())
            ended.push_back({++owner.ends, task, run, run_outcome::done, {}});
        owner.hold(std::move(ended));
        owner.store();
        most = std::max(most, owner.stored.size());
    }
    EXPECT_LE(most, 12U);
    EXPECT_EQ(owner.engine.find(id)->phase, submission_phase::completed);
}

// The state of a task that fails again and again stays within a record, and no
// failure is forgotten.
TEST(shard_records, failures_are_counted_beyond_those_kept)
{
    shard owner(1, {});
    owner.apply(pool_event::submitted{submission({1})});
    owner.store();
    for (int i = 0; i < 2000; ++i)
    {
        ASSERT_EQ(owner.engine.active(), 1U) << i;
        const auto runs = owner.start();
        // The host is suspended after failures.
        owner.now.steady += 10s;
        owner.hold({});
        for (const auto& [task, run] : runs)
            owner.hold({{++owner.ends, task, run, run_outcome::failed, {}}});
        owner.store();
        if (runs.empty())
            --i;
    }
    EXPECT_EQ(owner.engine.find(id)->phase, submission_phase::failed);
}

// A submission of which a record can't be stored ends; the others go on.
TEST(shard_records, refused_record_ends_its_submission_only)
{
    shard owner(1, {});
    auto other = submission({1});
    other.id = 2;
    owner.apply(pool_event::submitted{submission({1})});
    owner.apply(pool_event::submitted{other});
    owner.store();
    const auto runs = owner.start();
    ASSERT_EQ(runs.size(), 2U);
    const auto refused =
        subjects_of({progress_key({id, 0, 0}), host_key("gone")});
    EXPECT_EQ(refused.submissions, std::vector<std::uint64_t>{id});
    EXPECT_EQ(refused.hosts, std::vector<std::string>{"gone"});
    owner.apply(refused);
    EXPECT_EQ(owner.engine.find(id)->phase, submission_phase::failed);
    for (const auto& [task, run] : runs)
        owner.hold({{++owner.ends, task, run, run_outcome::done, {}}});
    owner.store();
    EXPECT_EQ(owner.engine.find(2)->phase, submission_phase::completed);
}

// One that was never stored was never accepted.
TEST(shard_records, refused_new_submission_is_unknown)
{
    shard owner(1, {});
    owner.apply(pool_event::submitted{submission({1})});
    owner.apply(subjects_of({submission_key(id)}));
    EXPECT_FALSE(owner.engine.find(id));
}

RC_GTEST_PROP(
    append_split, calls_keep_the_order_and_the_limit,
    (const std::vector<std::string>& values))
{
    std::vector<keyed_record> records;
    records.reserve(values.size());
    for (const auto& value : values)
        records.push_back({std::to_string(records.size()), value, 0});
    std::vector<keyed_record> joined;
    for (const auto& call : split_by_size(records, 64))
    {
        std::size_t bytes = 0;
        for (const auto& record : call)
        {
            bytes += stored_size(record);
            joined.push_back(record);
        }
        RC_ASSERT(bytes <= 64U || call.size() == 1U);
    }
    RC_ASSERT(joined == records);
}

RC_GTEST_PROP(
    number_ranges, holds_what_was_inserted,
    (const std::vector<std::uint8_t>& numbers))
{
    number_ranges ranges;
    for (const auto number : numbers)
        ranges.insert(number);
    const std::set<std::uint32_t> expected(numbers.begin(), numbers.end());
    RC_ASSERT(ranges.size() == expected.size());
    for (std::uint32_t i = 0; i < 256; ++i)
        RC_ASSERT(ranges.contains(i) == expected.contains(i));
    RC_ASSERT(ranges.ranges().size() <= 128U);
}

} // namespace dandeliontack
