#pragma once

#include <dandeliontack/boot_clock.hpp>
#include <dandeliontack/store_calls.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandeliontack
{

/// The submissions of a shard that were cancelled before they came. A copy that
/// is still on its way is not accepted after the cancelling has been
/// acknowledged.
class withdrawn_submissions
{
public:
    /// Each is kept for `retention`, which is longer than a copy may be on its
    /// way, and at most `most` of them are.
    withdrawn_submissions(
        std::chrono::milliseconds retention, std::size_t most);

    /// Withdraws a submission of an account. Returns false if there is no room.
    bool add(std::uint64_t id, std::string_view account, boot_time now);
    bool contains(std::uint64_t id, std::string_view account) const;
    std::size_t size() const;

    /// The records that store what was added, and what was forgotten, since the
    /// last call.
    std::vector<keyed_record> take_records(boot_time now);
    /// Whether something was added since the last `take_records`.
    bool has_records() const;
    /// Applies a stored record. Returns false if it is about something else.
    bool restore(const keyed_record& record, boot_time now);

private:
    /// The id, and a hash of the account's name, which is of any length.
    using key = std::pair<std::uint64_t, std::uint64_t>;

    static key key_of(std::uint64_t id, std::string_view account);
    static std::string record_key(const key& k);

    std::chrono::milliseconds retention_;
    std::size_t most_;
    std::map<key, boot_time> kept_;
    std::set<key> unstored_;
};

} // namespace dandeliontack
