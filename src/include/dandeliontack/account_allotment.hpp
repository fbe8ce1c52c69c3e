#pragma once

#include <dandeliontack/client_account.hpp>
#include <dandeliontack/submission.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandeliontack
{

/// The kinds of resources, for what is decided for each of them alike.
inline constexpr std::array resource_kinds{
    &resources::cpu_milli, &resources::memory_mb, &resources::accelerators};

/// Whether the account's tasks are limited in any resource.
bool is_limited(const client_account& account);
/// Whether `need` fits `free` in each resource that `limit` limits.
bool fits_limited(
    const resources& need, const resources& free, const resources& limit);
/// The larger of each resource.
resources larger_of(const resources& a, const resources& b);

/// From the holder of the fleet duty to a shard's owner: the parts of the
/// limits of accounts that the owner's tasks may use from now on. Accounts
/// without a row keep theirs.
struct allotment_call
{
    struct row
    {
        std::string account;
        resources allotted;

        bool operator==(const row&) const = default;
    };

    std::uint64_t duty_epoch = 0;
    /// Rises with each call to the shard under one epoch of the duty.
    std::uint64_t sequence = 0;
    /// The owner that the rows are for; 0 if it is not known.
    std::uint64_t owner_epoch = 0;
    /// The version of the configuration at the caller.
    std::uint64_t version = 0;
    /// The answer shall have a row for each account, not only for those that
    /// run or wait or have a row in the call.
    bool full = false;
    std::vector<row> rows;

    bool operator==(const allotment_call&) const = default;
};

/// The owner's answer.
struct allotment_report
{
    struct row
    {
        std::string account;
        resources allotted;
        /// What its runs use or may use. Before the takeover has settled, only
        /// runs that this owner has started.
        resources used;
        /// What tasks that its allotment holds back would use more: all of
        /// them, and the smallest number that may start.
        resources wanted;
        resources unit;

        bool operator==(const row&) const = default;
    };

    std::uint64_t owner_epoch = 0;
    /// The newest call that the owner has taken.
    std::uint64_t duty_epoch = 0;
    std::uint64_t sequence = 0;
    /// The version of the configuration at the owner.
    std::uint64_t version = 0;
    /// Whether all runs that previous owners started are known.
    bool settled = false;
    bool full = false;
    std::vector<row> rows;

    bool operator==(const allotment_report&) const = default;
};

/// What the accounts use in one shard, and the part of their limits that they
/// may use there. Load pattern: an account sends many times its usual to
/// several pools at once, and their owners start its tasks without asking each
/// other. Accounts are referred to by their position, 0 for none.
class account_budget
{
public:
    using position = std::uint32_t;

    /// The accounts of the configuration's version; null for none.
    void set_accounts(
        std::shared_ptr<const account_table> accounts, std::uint64_t version);
    /// The position of the account; the empty name has 0.
    position find_or_add(const std::string& account);

    /// Counts a run. `inherited`: a previous owner has started it.
    void add(position account, const resources& need, bool inherited);
    void remove(position account, const resources& need, bool inherited);
    /// From now on runs of previous owners use the allotment too: all are
    /// known.
    void settle();
    bool is_settled() const;

    /// Whether `need` more may start by the account's allotment.
    bool has_room(position account, const resources& need) const;
    /// Forgets what was held back.
    void begin_planning();
    /// Notes that the allotment holds back tasks that would use `wanted`, of
    /// which `unit` starts at once.
    void hold(position account, const resources& wanted, const resources& unit);

    /// Takes the call, unless a later one or one of a later holder of the duty
    /// was taken, or its rows are for another owner.
    void apply(const allotment_call& call, std::uint64_t owner_epoch);
    allotment_report
    report(const allotment_call& call, std::uint64_t owner_epoch) const;

    struct account_use
    {
        std::string name;
        /// Zero if the configuration does not limit the account.
        resources limit;
        resources allotted;
        resources used;
        /// Of `used`, by runs that previous owners started.
        resources inherited;
        resources wanted;
        resources unit;
    };
    /// In no particular order.
    const std::vector<account_use>& accounts() const;

private:
    const account_use& at(position account) const;
    account_use& at(position account);
    resources counted(const account_use& account) const;

    std::shared_ptr<const account_table> table_;
    std::uint64_t version_ = 0;
    std::vector<account_use> accounts_;
    std::map<std::string, position> positions_;
    std::uint64_t duty_epoch_ = 0;
    std::uint64_t sequence_ = 0;
    bool settled_ = false;
};

} // namespace dandeliontack
