#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// What an account is entitled to submit: a token bucket that holds one second
/// of its rate, at least one submission.
class account_entitlement
{
public:
    /// Counts a submission that was accepted at `at`. Returns whether it lies
    /// within `per_second`; one that doesn't takes nothing from later ones.
    bool take(
        std::string_view account, double per_second,
        std::chrono::sys_time<std::chrono::milliseconds> at);

private:
    struct bucket
    {
        double tokens = 0;
        std::chrono::sys_time<std::chrono::milliseconds> filled;
    };
    std::map<std::string, bucket, std::less<>> buckets_;
};

/// Start-time fair queueing among the accounts that wait for the hosts of one
/// pool. Load pattern: one account has many times as much waiting work as the
/// others. While two accounts wait, what they get in proportion to their
/// weights differs by at most one task of each; what an account leaves idle
/// goes to those that wait, and is not credited to it later.
class fair_order
{
public:
    /// The account with the lowest tag is next.
    double start_tag(std::string_view account) const;
    /// Counts a task of the account that starts, in any unit of work.
    void charge(std::string_view account, double weight, double work);

private:
    double virtual_time_ = 0;
    std::map<std::string, double, std::less<>> finish_tags_;
};

/// The work in a pool that is served before a new submission beyond its
/// account's entitlement, in host milliseconds, and what serves it.
struct share_backlog
{
    /// Work within the entitlements of accounts.
    double entitled = 0;
    /// Work beyond them, and the account's own part of it.
    double excess = 0;
    double own_excess = 0;
    /// Weights of the accounts with such work, with the account's own.
    double excess_weights = 0;
    double weight = 1;
    /// Hosts that can serve it in time; at least one.
    double hosts = 1;
};

/// A lower bound of the time until the work is served that goes before such a
/// submission: all entitled work, and the account's own excess by its share, or
/// all excess if that takes less.
std::chrono::milliseconds wait_before(const share_backlog& backlog);

/// The hosts of a pool that is full, and how fast their number grows.
/// Load pattern: a pool that rests with few hosts gets a burst; machines join
/// it about a second later, so a backlog says nothing before that.
class room_growth
{
public:
    /// Notes the capacity of the pool, in hosts, and whether tasks that can be
    /// of use wait for room in it.
    void note(double hosts, bool is_full, boot_time now);
    /// The hosts that can be expected on average until `now` + `horizon`, from
    /// the growth since the pool became full. Returns no value while machines
    /// that were ordered since then may not have joined yet.
    std::optional<double>
    expected(boot_time now, std::chrono::milliseconds horizon) const;

private:
    std::optional<boot_time> full_since_;
    double hosts_then_ = 0;
    double hosts_ = 0;
};

/// When callers of accounts that were refused may come back. Each gets a time
/// of its own, in which its account's share serves it; callers of other
/// accounts are not put off by that.
class return_schedule
{
public:
    /// `earliest` is when room is expected, `spacing` the time for which one
    /// submission occupies the account's share.
    std::chrono::milliseconds next(
        std::string_view account, boot_time now,
        std::chrono::milliseconds earliest, std::chrono::milliseconds spacing);

private:
    std::map<std::string, boot_time, std::less<>> booked_until_;
};

} // namespace dandeliontack
