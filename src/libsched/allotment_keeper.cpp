#include <dandeliontack/allotment_keeper.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>
#include <string_view>
#include <utility>

namespace dandeliontack
{

namespace
{

// Of what no owner needs, the share that owners get ahead of their demand, as a
// fraction. The rest goes at once to an owner that asks for it.
constexpr std::int64_t ahead_parts = 3;
constexpr std::int64_t ahead_of = 4;
// Recent use falls by this fraction in each round.
constexpr std::int64_t recent_decay = 16;
// While nobody waits, allotments change by at least this fraction of the limit,
// which keeps calls short.
constexpr std::int64_t least_change = 16;

// `part` of `whole`, of `amount`, without overflow.
std::int64_t
share_of(std::int64_t amount, std::int64_t part, std::int64_t whole)
{
    if (whole <= 0 || amount <= 0 || part <= 0)
        return 0;
    __extension__ using wide = __int128;
    return static_cast<std::int64_t>(wide{amount} * part / whole);
}

// Raises a grant from what is held to `to`, as far as `free` goes, from which
// it is taken.
void raise_grant(
    resources& grant, const resources& held, const resources& to,
    resources& free)
{
    for (const auto kind : resource_kinds)
    {
        const auto raised = std::max(grant.*kind, held.*kind);
        const auto more =
            std::min(to.*kind - raised, std::max<std::int64_t>(free.*kind, 0));
        if (more <= 0)
            grant.*kind = std::max(grant.*kind, std::min(to.*kind, raised));
        else
        {
            grant.*kind = raised + more;
            free.*kind -= more;
        }
    }
}

// Whether the change of an allotment is not worth a row: it is small, and what
// was allotted covers what is used.
bool is_small_change(
    const resources& last, const resources& grant, const resources& used,
    const resources& limit)
{
    return std::ranges::all_of(resource_kinds, [&](auto kind) {
        if (limit.*kind <= 0)
            return true;
        const auto change = grant.*kind - last.*kind;
        return last.*kind >= used.*kind &&
               (change < 0 ? -change : change) <= limit.*kind / least_change;
    });
}

} // namespace

resources allotment_keeper::part::reserved() const
{
    const auto allotted = sent ? larger_of(confirmed, *sent) : confirmed;
    return larger_of(allotted, used) + inherited;
}

allotment_keeper::allotment_keeper(std::uint64_t epoch) : epoch_(epoch) {}

void allotment_keeper::set_accounts(
    std::shared_ptr<const account_table> accounts, std::uint64_t version)
{
    version_ = version;
    auto before = std::exchange(limits_, {});
    if (!accounts)
        return;
    for (const auto& account : accounts->accounts())
    {
        if (!is_limited(account))
            continue;
        auto& entry = limits_[account.name];
        entry = {account.limit, version};
        const auto old = before.find(account.name);
        const bool was_limited =
            old != before.end() &&
            std::ranges::all_of(resource_kinds, [&](auto kind) {
                return account.limit.*kind <= 0 || old->second.limit.*kind > 0;
            });
        if (was_limited)
            entry.since = old->second.since;
    }
}

bool allotment_keeper::has_limits() const
{
    return !limits_.empty();
}

bool allotment_keeper::knows(
    const shard_state& shard, const limit_state& limit) const
{
    return !shard.has_unknown && shard.known_version &&
           *shard.known_version >= limit.since;
}

bool allotment_keeper::is_known(const limit_state& limit) const
{
    return !shards_.empty() &&
           std::ranges::all_of(shards_, [&](const auto& item) {
               return knows(item.second, limit);
           });
}

std::optional<resources>
allotment_keeper::reserved(const std::string& account) const
{
    const auto limit = limits_.find(account);
    if (limit == limits_.end() || !is_known(limit->second))
        return std::nullopt;
    resources sum;
    for (const auto& [id, shard] : shards_)
        if (const auto found = shard.parts.find(account);
            found != shard.parts.end())
            sum = sum + found->second.reserved();
    return sum;
}

std::vector<shard_id>
allotment_keeper::order_of(const std::string& account) const
{
    std::vector<std::pair<std::uint32_t, shard_id>> waiting;
    for (const auto& [id, call] : calls_)
    {
        const auto& parts = shards_.at(id).parts;
        const auto found = parts.find(account);
        waiting.emplace_back(
            found == parts.end() ? 0 : found->second.waiting, id);
    }
    std::ranges::stable_sort(
        waiting, std::greater<>{}, &std::pair<std::uint32_t, shard_id>::first);
    std::vector<shard_id> out;
    std::ranges::copy(waiting | std::views::values, std::back_inserter(out));
    return out;
}

// What owners use comes first; if that is beyond the limit, none may start more
// until enough tasks have ended. Then each owner that holds tasks back gets
// what lets some start, in turns, then all share the rest by what they hold
// back. Of what is left, most is given ahead of demand, by recent use.
std::map<shard_id, resources> allotment_keeper::targets(
    const std::string& account, const limit_state& limit,
    const std::vector<shard_id>& order)
{
    std::map<shard_id, resources> out;
    auto room = limit.limit;
    resources used;
    for (const auto& [id, shard] : shards_)
    {
        const auto found = shard.parts.find(account);
        if (found == shard.parts.end())
            continue;
        const auto& p = found->second;
        room = room - (shard.reachable ? p.inherited : p.reserved());
        if (shard.reachable)
            used = used + p.used;
    }
    std::vector<std::pair<shard_id, part*>> parts;
    for (const auto id : order)
        if (auto& shard = shards_.at(id); shard.reachable)
            parts.emplace_back(id, &shard.parts[account]);
    for (const auto& [id, p] : parts)
        for (const auto kind : resource_kinds)
            out[id].*kind = used.*kind <= room.*kind ? p->used.*kind : 0;
    room = room - used;
    resources wanted;
    for (const auto& [id, p] : parts)
    {
        if (p->wanted == resources{})
            continue;
        if (!fits_limited(p->unit, room, limit.limit))
            continue;
        out[id] = out[id] + p->unit;
        room = room - p->unit;
        wanted = wanted + (p->wanted - p->unit);
    }
    const auto rest = room;
    for (const auto& [id, p] : parts)
        for (const auto kind : resource_kinds)
        {
            const auto more = p->wanted.*kind - p->unit.*kind;
            if (more <= 0 || out[id].*kind <= p->used.*kind)
                continue;
            const auto given =
                std::min(more, share_of(rest.*kind, more, wanted.*kind));
            out[id].*kind += given;
            room.*kind -= given;
        }
    if (parts.empty())
        return out;
    const auto count = static_cast<std::int64_t>(parts.size());
    for (const auto kind : resource_kinds)
    {
        const auto ahead = share_of(room.*kind, ahead_parts, ahead_of);
        const auto even = limit.limit.*kind / ahead_of;
        std::int64_t weights = 0;
        for (const auto& [id, p] : parts)
            weights += p->recent.*kind + even / count;
        for (const auto& [id, p] : parts)
            out[id].*kind +=
                share_of(ahead, p->recent.*kind + even / count, weights);
    }
    return out;
}

// Raises take effect from what is free, the owners that hold tasks back first:
// what others are to give back is free once they have confirmed it.
void allotment_keeper::plan(
    const std::string& account, const limit_state& limit)
{
    const auto order = order_of(account);
    const auto wanted = targets(account, limit, order);
    if (wanted.empty())
        return;
    resources free;
    if (const auto sum = reserved(account))
        free = limit.limit - *sum;
    bool anyone_waits = false;
    bool is_over = false;
    for (const auto kind : resource_kinds)
        is_over = is_over || (limit.limit.*kind > 0 && free.*kind < 0);
    std::map<shard_id, resources> grants;
    const auto raise = [&](shard_id id, const resources& to) {
        const auto& p = shards_.at(id).parts[account];
        raise_grant(grants[id], p.reserved() - p.inherited, to, free);
    };
    for (const auto id : order)
    {
        const auto target = wanted.find(id);
        if (target == wanted.end())
            continue;
        const auto& p = shards_.at(id).parts[account];
        if (p.wanted == resources{})
            continue;
        anyone_waits = true;
        auto first = p.used + p.unit;
        for (const auto kind : resource_kinds)
            first.*kind = std::min(first.*kind, target->second.*kind);
        raise(id, first);
    }
    for (const bool waits : {true, false})
        for (const auto id : order)
            if (const auto target = wanted.find(id);
                target != wanted.end() &&
                (shards_.at(id).parts[account].wanted != resources{}) == waits)
                raise(id, target->second);
    for (auto& [id, grant] : grants)
    {
        for (const auto kind : resource_kinds)
            if (limit.limit.*kind <= 0)
                grant.*kind = 0;
        auto& shard = shards_.at(id);
        auto& p = shard.parts[account];
        const bool is_minor =
            is_small_change(p.last, grant, p.used, limit.limit);
        const bool keeps =
            !p.sent && p.last == p.confirmed &&
            (grant == p.last || (is_minor && !anyone_waits && !is_over));
        if (keeps)
            continue;
        p.last = grant;
        p.sent = p.sent ? larger_of(*p.sent, grant) : grant;
        calls_[id].rows.push_back({account, grant});
    }
}

std::map<shard_id, allotment_call>
allotment_keeper::next_calls(const std::set<shard_id>& shards)
{
    std::erase_if(shards_, [&](const auto& item) {
        return item.second.epoch == 0 && !shards.contains(item.first);
    });
    for (const auto id : shards)
        shards_.try_emplace(id);
    calls_.clear();
    for (const auto id : shards)
    {
        auto& shard = shards_.at(id);
        calls_[id] = {
            epoch_,
            ++shard.sequence,
            shard.epoch,
            version_,
            !shard.known_version || *shard.known_version < version_,
            {}};
    }
    for (const auto& [account, limit] : limits_)
        plan(account, limit);
    for (const auto id : shards)
        shards_.at(id).reachable = false;
    return std::exchange(calls_, {});
}

void allotment_keeper::apply(shard_id id, const allotment_report& report)
{
    const auto found = shards_.find(id);
    if (found == shards_.end())
        return;
    auto& shard = found->second;
    if (report.duty_epoch != epoch_ || report.sequence != shard.sequence ||
        report.owner_epoch < shard.epoch)
        return;
    if (report.owner_epoch > shard.epoch)
    {
        // The rows of the last call were not for this owner, but its
        // predecessor may have taken them.
        for (auto& [account, p] : shard.parts)
        {
            const auto inherited = p.reserved();
            p = {};
            p.inherited = inherited;
        }
        // The first owner of a shard has no predecessor.
        if (shard.epoch == 0)
            shard.has_unknown = report.owner_epoch > 1;
        shard.epoch = report.owner_epoch;
        shard.known_version.reset();
    }
    if (report.settled)
    {
        shard.has_unknown = false;
        for (auto& [account, p] : shard.parts)
            p.inherited = {};
    }
    shard.reachable = true;
    if (report.full)
        shard.known_version = report.version;
    std::map<std::string_view, const allotment_report::row*> rows;
    for (const auto& row : report.rows)
        rows.emplace(row.account, &row);
    // An account without a row neither runs nor waits.
    for (auto& [account, p] : shard.parts)
    {
        const auto row = rows.find(account);
        if (row == rows.end() || row->second->wanted == resources{} ||
            row->second->used.cpu_milli > p.used.cpu_milli)
            p.waiting = 0;
        else
            ++p.waiting;
        p.used = {};
        p.wanted = {};
        p.unit = {};
    }
    for (const auto& row : report.rows)
    {
        auto& p = shard.parts[row.account];
        p.confirmed = row.allotted;
        p.last = row.allotted;
        p.sent.reset();
        p.used = row.used;
        p.wanted = row.wanted;
        p.unit = row.unit;
    }
    for (auto& [account, p] : shard.parts)
        for (const auto kind : resource_kinds)
            p.recent.*kind = std::max(
                p.used.*kind, p.recent.*kind - p.recent.*kind / recent_decay);
}

} // namespace dandeliontack
