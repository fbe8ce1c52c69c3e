// Simulates a queue with advice under more load than the advice service
// answers, in virtual time: the engine, the limiter of calls, hosts, and a
// service that handles one call at a time.

#include "pool_driver.hpp"
#include <dandeliontack/call_limiter.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <ranges>

namespace dandeliontack::test
{

namespace
{

using std::chrono::milliseconds;

constexpr auto step_time = 20ms;
constexpr std::size_t service_queue_limit = 32;

struct load_terms
{
    advice_terms advice{180ms, 10ms, 3000ms};
    unsigned hosts = 6;
    /// Calls of other machines that wait at the service at first.
    unsigned other_calls = 0;
    /// The service takes this many times as long as it says.
    double slowness = 1;
};

class advised_pool
{
public:
    explicit advised_pool(load_terms terms) : terms_(terms), driver_(1)
    {
        std::vector<std::string> ids;
        ids.reserve(terms.hosts);
        for (unsigned i = 0; i < terms.hosts; ++i)
            ids.push_back("h" + std::to_string(i));
        driver_.connect_hosts(ids);
        for (const auto& id : ids)
            hosts_[id];
        for (unsigned i = 0; i < terms.other_calls; ++i)
            service_.push_back({{{}, {"x", "y"}, 200ms}, {}, true});
    }

    void submit(std::uint64_t id)
    {
        auto record = pool_driver::make_submission(4, id);
        record.spec.steps[0].need = {4000, 1000, 0};
        record.spec.steps.push_back(record.spec.steps[0]);
        record.spec.steps[1].dependencies = {0};
        record.terms.advice = terms_.advice;
        driver_.apply(pool_event::submitted{record});
    }

    void advance()
    {
        driver_.advance(step_time);
        run_hosts();
        run_service();
        give_up_calls();
        send_calls();
        for (const auto& effect : driver_.tick())
            carry_out(effect);
        driver_.store();
    }

    pool_driver& driver()
    {
        return driver_;
    }

    unsigned calls() const
    {
        return calls_;
    }

    unsigned answers() const
    {
        return answers_;
    }

private:
    struct service_call
    {
        pool_effect::advise question;
        boot_time timeout_at;
        /// Made by another machine, or given up.
        bool ignored = false;
        boot_time began;
    };
    struct simulated_host
    {
        std::map<task_ref, std::pair<std::uint32_t, boot_time>> running;
        std::uint64_t ends = 0;
    };

    void carry_out(const pool_effect_body& effect)
    {
        if (const auto* start = std::get_if<pool_effect::start>(&effect))
        {
            hosts_[start->host].running[start->task] = {
                start->run, driver_.now.steady + 1000ms};
            driver_.apply(pool_event::start_answered{
                start->host, start->born, start->task, start->run,
                start_answer::started, driver_.now.steady.time_since_epoch()});
        }
        if (const auto* question = std::get_if<pool_effect::advise>(&effect))
            waiting_.push_back(*question);
    }

    void run_hosts()
    {
        for (auto& [id, h] : hosts_)
        {
            std::vector<running_row> running;
            std::vector<ended_row> ended;
            for (const auto& [task, run] : h.running)
                if (run.second <= driver_.now.steady)
                    ended.push_back(
                        {++h.ends, task, run.first, run_outcome::done, {}});
                else
                    running.push_back({task, run.first, {}, 50, 0});
            for (const auto& row : ended)
                h.running.erase(row.task);
            driver_.hold(id, std::move(running), std::move(ended));
        }
    }

    void send_calls()
    {
        while (!waiting_.empty() && limiter_.may_call(driver_.now.steady))
        {
            const auto question = waiting_.front();
            waiting_.pop_front();
            if (!driver_.engine.is_wanted(question))
            {
                answer(question, false);
                continue;
            }
            ++calls_;
            const auto timeout = limiter_.begin(question.need);
            if (service_.size() >= service_queue_limit)
            {
                end_call(question, call_result::refused, 0ms);
                continue;
            }
            service_.push_back(
                {question, driver_.now.steady + timeout, false,
                 driver_.now.steady});
        }
    }

    void give_up_calls()
    {
        for (auto& call : service_)
            if (!call.ignored && call.timeout_at <= driver_.now.steady)
            {
                call.ignored = true;
                end_call(
                    call.question, call_result::unanswered,
                    driver_.now.steady - call.began);
            }
    }

    // A call that was given up costs the service as much as any other.
    void run_service()
    {
        if (service_.empty())
            return;
        if (!busy_until_)
            busy_until_ = driver_.now.steady +
                          milliseconds(static_cast<std::int64_t>(
                              static_cast<double>(
                                  service_.front().question.need.count()) *
                              terms_.slowness));
        if (*busy_until_ > driver_.now.steady)
            return;
        const auto call = service_.front();
        service_.pop_front();
        busy_until_.reset();
        if (call.ignored)
            return;
        ++answers_;
        end_call(
            call.question, call_result::answered,
            driver_.now.steady - call.began);
    }

    void end_call(
        const pool_effect::advise& question, call_result result,
        milliseconds took)
    {
        limiter_.end(result, question.need, took, driver_.now.steady);
        answer(question, result == call_result::answered);
    }

    // Two hosts of three may run a step.
    void answer(const pool_effect::advise& question, bool answered)
    {
        pool_event::advice_answered event{
            question.step, {}, terms_.advice.valid, answered};
        for (const auto& id : question.hosts)
            if ((question.step.submission + question.step.step +
                 static_cast<unsigned char>(id.back())) %
                    3 !=
                0)
                event.granted.emplace_back(id, "t");
        driver_.apply(event);
    }

    load_terms terms_;
    pool_driver driver_;
    call_limiter limiter_{{}, 7};
    std::map<std::string, simulated_host> hosts_;
    std::deque<pool_effect::advise> waiting_;
    std::deque<service_call> service_;
    std::optional<boot_time> busy_until_;
    unsigned calls_ = 0;
    unsigned answers_ = 0;
};

// Steps without new submissions until none is left, 600 s at most. Returns the
// number of submissions left.
std::size_t drain(advised_pool& pool)
{
    for (auto spent = 0ms; spent < 600s && pool.driver().engine.active() > 0;
         spent += step_time)
        pool.advance();
    return pool.driver().engine.active();
}

} // namespace

// Guards against calls that are given up before their answer can come and made
// anew at the end of the service's queue: after a burst no call was answered in
// time any more, and no step of the queue ever started.
TEST(advice_load, backlog_of_a_burst_is_worked_off)
{
    advised_pool pool({});
    for (std::uint64_t id = 1; id <= 40; ++id)
        pool.submit(id);
    for (auto spent = 0ms; spent < 10s; spent += step_time)
        pool.advance();
    // A call takes up to 240 ms, so that 41 or more are answered in 10 s.
    EXPECT_GE(pool.answers(), 40U);
    EXPECT_LE(pool.calls(), pool.answers() + 2);
    EXPECT_EQ(drain(pool), 0U);
}

// Whatever the service is like, calls follow what it answers, and once the load
// ends the backlog ends too.
RC_GTEST_PROP(advice_load, calls_fall_to_what_is_answered_and_backlog_ends, ())
{
    load_terms terms;
    terms.advice.decide = milliseconds(*rc::gen::inRange(1, 1500));
    terms.advice.each = milliseconds(*rc::gen::inRange(0, 50));
    terms.advice.valid = milliseconds(*rc::gen::inRange(400, 6000));
    terms.hosts = *rc::gen::inRange(3U, 9U);
    terms.other_calls = *rc::gen::inRange(0U, 33U);
    terms.slowness = *rc::gen::element(1.0, 1.0, 2.5, 6.0);
    advised_pool pool(terms);
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
    for (std::uint64_t id = 1; id <= count; ++id)
    {
        pool.submit(id);
        for (int i = *rc::gen::inRange(0, 30); i > 0; --i)
            pool.advance();
    }
    RC_ASSERT(drain(pool) == 0U);
    // Beside the calls that are answered, few fail: while others fill the
    // service's queue, and until its slowness is known.
    RC_ASSERT(pool.calls() <= 2 * pool.answers() + 20);
}

// Hosts that the service has denied are not asked about again.
TEST(advice_load, step_without_a_permitted_host_is_asked_once)
{
    pool_driver d;
    d.connect_hosts({"a"});
    auto record = pool_driver::make_submission(1);
    record.terms.advice = advice_terms{1ms, 1ms, 3000ms};
    d.submit(record);
    const auto asked = d.effects_of<pool_effect::advise>(d.tick());
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked[0].hosts, std::vector<std::string>{"a"});
    EXPECT_EQ(asked[0].need, 2ms);
    d.apply(pool_event::advice_answered{asked[0].step, {}, 3000ms, true});
    for (int i = 0; i < 10; ++i)
    {
        d.advance(1000ms);
        d.hold("a");
        d.tick();
    }
    EXPECT_EQ(d.effects_of<pool_effect::advise>(d.all_effects).size(), 1U);
    d.list_hosts({"a", "b"});
    d.store();
    d.hold("b");
    const auto again = d.effects_of<pool_effect::advise>(d.tick());
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].hosts, std::vector<std::string>{"b"});
}

// A step that could not start is not worth a call.
TEST(advice_load, step_is_asked_about_once_a_host_has_room)
{
    pool_driver d;
    d.connect_hosts({"a"});
    auto filling = pool_driver::make_submission(1, 1);
    filling.spec.steps[0].need = {16'000, 1000, 0};
    d.submit(filling);
    d.answer_starts(d.tick());
    auto record = pool_driver::make_submission(1);
    record.terms.advice = advice_terms{1ms, 1ms, 3000ms};
    d.submit(record);
    EXPECT_TRUE(d.effects_of<pool_effect::advise>(d.tick()).empty());
    d.hold("a", {}, {{1, {1, 0, 0, 0}, 1, run_outcome::done, {}}});
    EXPECT_EQ(d.effects_of<pool_effect::advise>(d.tick()).size(), 1U);
}

// An answer that no call waits for any more must not upset the count of calls.
TEST(advice_load, answer_for_a_cancelled_submission_is_counted)
{
    pool_driver d;
    d.connect_hosts({"a"});
    auto record = pool_driver::make_submission(1, 1);
    record.terms.advice = advice_terms{1ms, 1ms, 3000ms};
    for (std::uint64_t id = 1; id <= 4; ++id)
    {
        record.id = id;
        d.submit(record);
        const auto asked = d.effects_of<pool_effect::advise>(d.tick());
        ASSERT_EQ(asked.size(), 1U) << id;
        d.apply(pool_event::cancelled{id});
        d.store();
        EXPECT_FALSE(d.engine.is_wanted(asked[0]));
        d.apply(pool_event::advice_answered{asked[0].step, {}, 0ms, false});
    }
}

TEST(call_limiter, timeout_covers_the_calls_ahead_and_grows_with_failures)
{
    call_limiter limiter({}, 1);
    boot_time now{1h};
    EXPECT_GE(limiter.begin(300ms), 300ms);
    EXPECT_GE(limiter.begin(300ms), 600ms);
    EXPECT_FALSE(limiter.may_call(now));
    limiter.end(call_result::unanswered, 300ms, 2000ms, now);
    limiter.end(call_result::refused, 300ms, 0ms, now);
    EXPECT_FALSE(limiter.may_call(now));
    EXPECT_GT(limiter.wait(now), 0ms);
    EXPECT_LE(limiter.wait(now), call_limiter::bounds{}.max_pause);
    now += limiter.wait(now);
    ASSERT_TRUE(limiter.may_call(now));
    EXPECT_GE(limiter.begin(300ms), 1200ms);
    // One call at a time until an answer comes.
    EXPECT_FALSE(limiter.may_call(now));
    limiter.end(call_result::answered, 300ms, 300ms, now);
    EXPECT_TRUE(limiter.may_call(now));
}

} // namespace dandeliontack::test
