#pragma once

#include <dandeliontack/submission.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dandeliontack
{

/// An account in whose name callers submit work.
struct client_account
{
    std::string name;
    /// Its share of a pool that is full, relative to other accounts, and the
    /// submissions per second that it is entitled to.
    double weight = 1;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// The most that its tasks may use together, over all pools; 0 for no
    /// limit.
    resources limit;

    bool operator==(const client_account&) const = default;
};

/// The accounts of one version of the configuration and the keys that callers
/// present for them. A key selects at most one account.
class account_table
{
public:
    enum class add_result : std::uint8_t
    {
        added,
        duplicate_name,
        duplicate_key
    };

    /// Adds an account with its keys. Leaves the table unchanged unless the
    /// result is `added`.
    add_result add(client_account account, std::vector<std::string> keys);

    /// The account that the key belongs to; null if there is none.
    const client_account* find_by_key(std::string_view key) const;
    /// The account of the name; null if there is none.
    const client_account* find(std::string_view name) const;

    const std::vector<client_account>& accounts() const;
    std::size_t keys() const;

private:
    struct text_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };
    /// Positions in `accounts_`.
    using index = std::unordered_map<
        std::string, std::uint32_t, text_hash, std::equal_to<>>;

    const client_account*
    at(const index& positions, std::string_view text) const;

    std::vector<client_account> accounts_;
    index by_name_;
    index by_key_;
};

} // namespace dandeliontack
