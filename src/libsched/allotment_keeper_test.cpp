#include <dandeliontack/allotment_keeper.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <ostream>

namespace dandeliontack
{

namespace
{

const std::string account = "acme";

std::shared_ptr<const account_table> limited_to(std::int64_t cpu_milli)
{
    auto table = std::make_shared<account_table>();
    client_account entry;
    entry.name = account;
    entry.limit = {cpu_milli, 2 * cpu_milli, 0};
    table->add(std::move(entry), {});
    return table;
}

/// The owners of some shards, the hosts' runs, the holders of the duty and the
/// messages between them, any of which may be lost, late, repeated or
/// reordered.
class fleet_model
{
public:
    using run_id = std::uint32_t;

    fleet_model(shard_id shards, std::int64_t limit) : limits_{0, limit}
    {
        for (shard_id id = 0; id < shards; ++id)
        {
            ids_.insert(id);
            replace_owner(id);
        }
        replace_keeper(0);
    }

    /// Only the new holder acts; messages of the old one stay on their way. Its
    /// configuration may be an older one.
    void replace_keeper(std::size_t version)
    {
        keeper_version_ = 1 + version % (limits_.size() - 1);
        oldest_version_ = std::min(oldest_version_, keeper_version_);
        keeper_.emplace(++duty_epoch_);
        keeper_->set_accounts(
            limited_to(limits_[keeper_version_]), keeper_version_);
    }

    void replace_owner(shard_id id)
    {
        auto& s = shards_[id];
        ++s.epoch;
        s.budget = {};
        s.version = std::max<std::size_t>(s.version, 1);
        s.budget.set_accounts(limited_to(limits_[s.version]), s.version);
        s.position = s.budget.find_or_add(account);
        for (auto& [run, state] : runs_)
            if (state.shard == id)
                state.known = false;
        if (s.epoch == 1)
            s.budget.settle();
    }

    void change_limit(std::int64_t limit)
    {
        limits_.push_back(limit);
    }
    void keeper_learns()
    {
        keeper_version_ = limits_.size() - 1;
        keeper_->set_accounts(
            limited_to(limits_[keeper_version_]), keeper_version_);
    }
    void owner_learns(shard_id id)
    {
        auto& s = shards_[id];
        s.version = limits_.size() - 1;
        s.budget.set_accounts(limited_to(limits_[s.version]), s.version);
    }

    /// The owner starts a task, if it may. The start may reach its host late:
    /// its run is only seen by a successor once that happens.
    bool start(shard_id id, const resources& need, bool late)
    {
        auto& s = shards_[id];
        s.budget.begin_planning();
        if (!s.budget.has_room(s.position, need))
        {
            s.budget.hold(s.position, need, need);
            return false;
        }
        s.budget.add(s.position, need, false);
        runs_[next_run_++] = {id, need, true, false, late};
        check();
        return true;
    }

    /// A late start of this owner or a predecessor begins on its host.
    void land(std::size_t which)
    {
        if (auto* run = pick(which))
            run->late = false;
    }

    /// A successor sees a run of its predecessor.
    void adopt(std::size_t which)
    {
        auto* run = pick(which);
        if (!run || run->known || run->late)
            return;
        auto& s = shards_[run->shard];
        run->known = true;
        run->inherited = true;
        s.budget.add(s.position, run->need, true);
    }

    void end(std::size_t which)
    {
        auto* run = pick(which);
        if (!run)
            return;
        auto& s = shards_[run->shard];
        if (run->known)
            s.budget.remove(s.position, run->need, run->inherited);
        std::erase_if(
            runs_, [&](const auto& item) { return &item.second == run; });
    }

    /// Hosts refuse starts of predecessors once they have answered.
    void settle(shard_id id)
    {
        std::erase_if(runs_, [&](const auto& item) {
            return item.second.shard == id && !item.second.known &&
                   item.second.late;
        });
        std::vector<std::size_t> unknown;
        std::size_t at = 0;
        for (const auto& [run, state] : runs_)
        {
            if (state.shard == id && !state.known)
                unknown.push_back(at);
            ++at;
        }
        for (const auto which : unknown)
            adopt(which);
        shards_[id].budget.settle();
    }

    void call_all()
    {
        for (auto& [id, call] : keeper_->next_calls(ids_))
            calls_.emplace_back(id, std::move(call));
    }
    void deliver_call(std::size_t which, bool keep)
    {
        if (calls_.empty())
            return;
        const auto at =
            calls_.begin() + static_cast<std::ptrdiff_t>(which % calls_.size());
        const auto [id, call] = *at;
        if (!keep)
            calls_.erase(at);
        auto& s = shards_[id];
        s.budget.apply(call, s.epoch);
        answers_.emplace_back(id, s.budget.report(call, s.epoch));
    }
    void deliver_answer(std::size_t which, bool keep)
    {
        if (answers_.empty())
            return;
        const auto at = answers_.begin() +
                        static_cast<std::ptrdiff_t>(which % answers_.size());
        keeper_->apply(at->first, at->second);
        note_limit();
        if (!keep)
            answers_.erase(at);
    }
    /// One round without any loss. Earlier messages stay on their way.
    void exchange()
    {
        const auto calls = std::exchange(calls_, {});
        const auto answers = std::exchange(answers_, {});
        call_all();
        for (std::size_t at = 0; at < calls_.size(); ++at)
            deliver_call(at, true);
        for (std::size_t at = 0; at < answers_.size(); ++at)
            deliver_answer(at, true);
        std::ranges::copy(calls, std::back_inserter(calls_));
        std::ranges::copy(answers, std::back_inserter(answers_));
        constexpr std::size_t most = 30;
        calls_.resize(std::min(calls_.size(), most));
        answers_.resize(std::min(answers_.size(), most));
    }

    /// Nothing runs and nothing waits any more.
    void end_all()
    {
        while (!runs_.empty())
            end(0);
        for (auto& [id, s] : shards_)
            s.budget.begin_planning();
    }

    std::int64_t limit() const
    {
        return limits_.back();
    }
    const std::set<shard_id>& ids() const
    {
        return ids_;
    }

private:
    struct run_state
    {
        shard_id shard = 0;
        resources need;
        bool known = true;
        bool inherited = false;
        bool late = false;
    };
    struct owner_state
    {
        std::uint64_t epoch = 0;
        account_budget budget;
        account_budget::position position = 0;
        std::size_t version = 1;
    };

    run_state* pick(std::size_t which)
    {
        if (runs_.empty())
            return nullptr;
        return &std::next(
                    runs_.begin(),
                    static_cast<std::ptrdiff_t>(which % runs_.size()))
                    ->second;
    }

    /// A lowered limit is in force once all allotments have shrunk to it.
    void note_limit()
    {
        const auto limit = limits_[keeper_version_];
        const auto sum = keeper_->reserved(account);
        if (sum && fits(*sum, {limit, 2 * limit, 0}))
            oldest_version_ = keeper_version_;
    }

    /// What runs is below the highest limit of the versions in force.
    void check() const
    {
        const auto most = *std::max_element(
            limits_.begin() + static_cast<std::ptrdiff_t>(oldest_version_),
            limits_.end());
        resources sum;
        for (const auto& [run, state] : runs_)
            sum = sum + state.need;
        RC_ASSERT(sum.cpu_milli <= most);
        RC_ASSERT(sum.memory_mb <= 2 * most);
    }

    std::vector<std::int64_t> limits_;
    std::set<shard_id> ids_;
    std::map<shard_id, owner_state> shards_;
    std::map<run_id, run_state> runs_;
    run_id next_run_ = 1;
    std::uint64_t duty_epoch_ = 0;
    std::size_t keeper_version_ = 1;
    std::size_t oldest_version_ = 1;
    std::optional<allotment_keeper> keeper_;
    std::deque<std::pair<shard_id, allotment_call>> calls_;
    std::deque<std::pair<shard_id, allotment_report>> answers_;
};

enum class step : std::uint8_t
{
    start,
    start_late,
    land,
    end,
    adopt,
    settle,
    call,
    take_call,
    take_answer,
    round,
    owner,
    keeper,
    limit,
    keeper_learns,
    owner_learns
};

std::ostream& operator<<(std::ostream& out, step what)
{
    constexpr std::array names{
        "start",  "start late", "land",      "end",           "adopt",
        "settle", "call",       "take call", "take answer",   "round",
        "owner",  "keeper",     "limit",     "keeper learns", "owner learns"};
    return out << names.at(static_cast<std::size_t>(what));
}

void perform(fleet_model& fleet, shard_id shards, bool changes_limits)
{
    const auto what = *rc::gen::weightedElement<step>(
        {{20, step::start},
         {6, step::start_late},
         {5, step::land},
         {12, step::end},
         {5, step::adopt},
         {3, step::settle},
         {6, step::call},
         {16, step::take_call},
         {14, step::take_answer},
         {6, step::round},
         {2, step::owner},
         {1, step::keeper},
         {1, step::limit},
         {2, step::keeper_learns},
         {3, step::owner_learns}});
    const auto shard = *rc::gen::inRange<shard_id>(0, shards);
    const auto which = *rc::gen::inRange<std::size_t>(0, 1000);
    const auto cores = *rc::gen::inRange<std::int64_t>(1, 30);
    const auto memory = *rc::gen::inRange<std::int64_t>(0, 60);
    const bool again = which % 2 == 0;
    switch (what)
    {
    case step::start:
    case step::start_late:
        fleet.start(shard, {cores, memory, 0}, what == step::start_late);
        break;
    case step::land:
        fleet.land(which);
        break;
    case step::end:
        fleet.end(which);
        break;
    case step::adopt:
        fleet.adopt(which);
        break;
    case step::settle:
        fleet.settle(shard);
        break;
    case step::call:
        fleet.call_all();
        break;
    case step::take_call:
        fleet.deliver_call(which, again);
        break;
    case step::take_answer:
        fleet.deliver_answer(which, again);
        break;
    case step::round:
        fleet.exchange();
        break;
    case step::owner:
        fleet.replace_owner(shard);
        break;
    case step::keeper:
        fleet.replace_keeper(which);
        break;
    case step::limit:
        if (changes_limits)
            fleet.change_limit(10 + 10 * static_cast<std::int64_t>(which % 20));
        break;
    case step::keeper_learns:
        fleet.keeper_learns();
        break;
    case step::owner_learns:
        fleet.owner_learns(shard);
        break;
    }
}

} // namespace

// Load pattern: one account sends to every pool at once, while owners and the
// holder of the duty are lost and taken over, and messages arrive in any order.
RC_GTEST_PROP(
    allotment_keeper, running_tasks_never_exceed_the_limit_in_force, ())
{
    const auto shards = *rc::gen::inRange<shard_id>(1, 5);
    fleet_model fleet(shards, *rc::gen::inRange<std::int64_t>(20, 200));
    const auto steps = *rc::gen::inRange(0, 400);
    for (int i = 0; i < steps; ++i)
        perform(fleet, shards, true);
}

// Load pattern: the pools reach their peaks in turns. Whatever happened before,
// an owner that waits has the whole limit two rounds after it has said so.
RC_GTEST_PROP(allotment_keeper, idle_room_is_given_within_two_rounds, ())
{
    const auto shards = *rc::gen::inRange<shard_id>(1, 6);
    fleet_model fleet(shards, *rc::gen::inRange<std::int64_t>(30, 200));
    const auto steps = *rc::gen::inRange(0, 100);
    for (int i = 0; i < steps; ++i)
        perform(fleet, shards, false);
    fleet.end_all();
    for (const auto id : fleet.ids())
        fleet.settle(id);
    // Owners that the holder of the duty has never heard of say who they are.
    fleet.exchange();
    fleet.exchange();
    for (const auto id : fleet.ids())
    {
        const resources whole{fleet.limit(), 2 * fleet.limit(), 0};
        int rounds = 0;
        if (!fleet.start(id, whole, false))
            // It says so.
            fleet.exchange();
        for (; rounds < 10 && !fleet.start(id, whole, false); ++rounds)
            fleet.exchange();
        RC_ASSERT(rounds <= 2);
        fleet.end_all();
    }
}

// Load pattern: several owners hold back tasks of one account at once, which
// together want more than the limit.
RC_GTEST_PROP(allotment_keeper, no_room_is_left_while_owners_wait, ())
{
    const auto shards = *rc::gen::inRange<shard_id>(2, 6);
    const std::int64_t tasks = *rc::gen::inRange(8, 40);
    constexpr resources task{10, 10, 0};
    fleet_model fleet(shards, tasks * task.cpu_milli);
    fleet.exchange();
    fleet.exchange();
    std::int64_t started = 0;
    // Two rounds after the owners have said what waits, some of it starts.
    for (int idle_rounds = 0; idle_rounds < 3; ++idle_rounds)
    {
        for (const auto id : fleet.ids())
            while (fleet.start(id, task, false))
            {
                ++started;
                idle_rounds = -1;
            }
        fleet.exchange();
    }
    RC_ASSERT(started == tasks);
}

// Load pattern: the operator lowers the limit while the account uses all of it.
TEST(allotment_keeper, nothing_starts_above_a_lowered_limit)
{
    constexpr resources task{10, 10, 0};
    fleet_model fleet(2, 100);
    for (int round = 0; round < 5; ++round)
    {
        fleet.exchange();
        while (fleet.start(0, task, false) || fleet.start(1, task, false))
            ;
    }
    fleet.change_limit(50);
    fleet.keeper_learns();
    fleet.owner_learns(0);
    fleet.owner_learns(1);
    for (int ended = 0; ended < 5; ++ended)
    {
        fleet.exchange();
        fleet.end(0);
        EXPECT_FALSE(fleet.start(0, task, false));
        EXPECT_FALSE(fleet.start(1, task, false));
    }
    fleet.end(0);
    fleet.exchange();
    fleet.exchange();
    EXPECT_TRUE(fleet.start(0, task, false) || fleet.start(1, task, false));
}

} // namespace dandeliontack
