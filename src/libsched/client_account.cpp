#include <dandeliontack/client_account.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace dandeliontack
{

account_table::add_result
account_table::add(client_account account, std::vector<std::string> keys)
{
    if (by_name_.contains(account.name))
        return add_result::duplicate_name;
    const std::set<std::string_view> distinct(keys.begin(), keys.end());
    if (distinct.size() < keys.size() ||
        std::ranges::any_of(keys, [this](const std::string& key) {
            return by_key_.contains(key);
        }))
        return add_result::duplicate_key;
    const auto position = static_cast<std::uint32_t>(accounts_.size());
    by_name_.emplace(account.name, position);
    for (auto& key : keys)
        by_key_.emplace(std::move(key), position);
    accounts_.push_back(std::move(account));
    return add_result::added;
}

const client_account* account_table::find_by_key(std::string_view key) const
{
    return at(by_key_, key);
}

const client_account* account_table::find(std::string_view name) const
{
    return at(by_name_, name);
}

const client_account*
account_table::at(const index& positions, std::string_view text) const
{
    const auto found = positions.find(text);
    return found == positions.end() ? nullptr : &accounts_[found->second];
}

const std::vector<client_account>& account_table::accounts() const
{
    return accounts_;
}

std::size_t account_table::keys() const
{
    return by_key_.size();
}

} // namespace dandeliontack
