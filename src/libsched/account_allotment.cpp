#include <dandeliontack/account_allotment.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace dandeliontack
{

bool is_limited(const client_account& account)
{
    return account.limit != resources{};
}

bool fits_limited(
    const resources& need, const resources& free, const resources& limit)
{
    return std::ranges::all_of(resource_kinds, [&](auto kind) {
        return limit.*kind <= 0 || need.*kind <= free.*kind;
    });
}

resources larger_of(const resources& a, const resources& b)
{
    return {
        std::max(a.cpu_milli, b.cpu_milli), std::max(a.memory_mb, b.memory_mb),
        std::max(a.accelerators, b.accelerators)};
}

void account_budget::set_accounts(
    std::shared_ptr<const account_table> accounts, std::uint64_t version)
{
    table_ = std::move(accounts);
    version_ = version;
    for (auto& account : accounts_)
    {
        const auto* entry = table_ ? table_->find(account.name) : nullptr;
        account.limit = entry ? entry->limit : resources{};
    }
}

account_budget::position account_budget::find_or_add(const std::string& account)
{
    if (account.empty())
        return 0;
    const auto [found, added] = positions_.try_emplace(
        account, static_cast<position>(accounts_.size() + 1));
    if (added)
    {
        const auto* entry = table_ ? table_->find(account) : nullptr;
        auto& use = accounts_.emplace_back();
        use.name = account;
        use.limit = entry ? entry->limit : resources{};
    }
    return found->second;
}

void account_budget::add(
    position account, const resources& need, bool inherited)
{
    if (account == 0)
        return;
    auto& use = at(account);
    use.used = use.used + need;
    if (inherited)
        use.inherited = use.inherited + need;
}

void account_budget::remove(
    position account, const resources& need, bool inherited)
{
    if (account == 0)
        return;
    auto& use = at(account);
    use.used = use.used - need;
    if (inherited)
        use.inherited = use.inherited - need;
}

void account_budget::settle()
{
    settled_ = true;
}

bool account_budget::is_settled() const
{
    return settled_;
}

// Runs of previous owners are counted by the keeper until the takeover has
// settled, since not all of them are known.
resources account_budget::counted(const account_use& account) const
{
    return settled_ ? account.used : account.used - account.inherited;
}

bool account_budget::has_room(position account, const resources& need) const
{
    if (account == 0)
        return true;
    const auto& use = at(account);
    return fits_limited(need, use.allotted - counted(use), use.limit);
}

void account_budget::begin_planning()
{
    for (auto& account : accounts_)
    {
        account.wanted = {};
        account.unit = {};
    }
}

void account_budget::hold(
    position account, const resources& wanted, const resources& unit)
{
    auto& use = at(account);
    if (use.wanted == resources{} || unit.cpu_milli < use.unit.cpu_milli)
        use.unit = unit;
    use.wanted = use.wanted + wanted;
}

void account_budget::apply(
    const allotment_call& call, std::uint64_t owner_epoch)
{
    if (std::tie(call.duty_epoch, call.sequence) <=
        std::tie(duty_epoch_, sequence_))
        return;
    duty_epoch_ = call.duty_epoch;
    sequence_ = call.sequence;
    if (call.owner_epoch != owner_epoch)
        return;
    for (const auto& row : call.rows)
        if (const auto account = find_or_add(row.account); account != 0)
            at(account).allotted = row.allotted;
}

allotment_report account_budget::report(
    const allotment_call& call, std::uint64_t owner_epoch) const
{
    allotment_report out{owner_epoch, duty_epoch_, sequence_, version_,
                         settled_,    call.full,   {}};
    std::set<std::string_view> called;
    for (const auto& row : call.rows)
        called.insert(row.account);
    for (const auto& use : accounts_)
    {
        const bool is_active =
            use.used != resources{} || use.wanted != resources{};
        const bool has_allotment = call.full && use.allotted != resources{};
        if ((use.limit != resources{} && (is_active || has_allotment)) ||
            called.contains(use.name))
            out.rows.push_back(
                {use.name, use.allotted, counted(use), use.wanted, use.unit});
    }
    return out;
}

const std::vector<account_budget::account_use>& account_budget::accounts() const
{
    return accounts_;
}

const account_budget::account_use& account_budget::at(position account) const
{
    return accounts_[account - 1];
}

account_budget::account_use& account_budget::at(position account)
{
    return accounts_[account - 1];
}

} // namespace dandeliontack
