#include <dandeliontack/stable_hash.hpp>
#include <dandeliontack/submission.hpp>
#include <dandeliontack/withdrawn_submissions.hpp>

#include <absl/strings/numbers.h>

#include <algorithm>
#include <iterator>

namespace dandeliontack
{

namespace
{

// `w/ID.ACCOUNT`, the account as the decimal hash of its name.
constexpr std::string_view withdrawn_prefix = "w/";
constexpr std::size_t id_digits = 16;
// A record without a value would delete its key.
constexpr std::string_view present = "1";

} // namespace

withdrawn_submissions::withdrawn_submissions(
    std::chrono::milliseconds retention, std::size_t most)
    : retention_(retention), most_(most)
{}

withdrawn_submissions::key
withdrawn_submissions::key_of(std::uint64_t id, std::string_view account)
{
    return {id, stable_hash(account)};
}

std::string withdrawn_submissions::record_key(const key& k)
{
    return std::string(withdrawn_prefix) + submission_name(k.first) + "." +
           std::to_string(k.second);
}

bool withdrawn_submissions::add(
    std::uint64_t id, std::string_view account, boot_time now)
{
    const auto k = key_of(id, account);
    if (const auto known = kept_.find(k); known != kept_.end())
    {
        known->second = now;
        return true;
    }
    if (kept_.size() >= most_)
        return false;
    kept_.emplace(k, now);
    unstored_.insert(k);
    return true;
}

bool withdrawn_submissions::contains(
    std::uint64_t id, std::string_view account) const
{
    return kept_.contains(key_of(id, account));
}

std::size_t withdrawn_submissions::size() const
{
    return kept_.size();
}

std::vector<keyed_record> withdrawn_submissions::take_records(boot_time now)
{
    std::vector<keyed_record> out;
    std::erase_if(kept_, [&](const auto& item) {
        const bool old = now - item.second > retention_;
        if (old)
            out.push_back({record_key(item.first), {}, 0});
        return old;
    });
    std::ranges::transform(
        unstored_, std::back_inserter(out), [](const key& k) {
            return keyed_record{record_key(k), std::string(present), 0};
        });
    unstored_.clear();
    return out;
}

bool withdrawn_submissions::has_records() const
{
    return !unstored_.empty();
}

// It is kept for the whole time again, as the record has no time that all
// clocks agree on.
bool withdrawn_submissions::restore(const keyed_record& record, boot_time now)
{
    if (!record.key.starts_with(withdrawn_prefix))
        return false;
    const std::string_view rest =
        std::string_view(record.key).substr(withdrawn_prefix.size());
    const auto id = parse_submission_name(rest.substr(0, id_digits));
    std::uint64_t account = 0;
    if (!id || rest.size() <= id_digits || rest[id_digits] != '.' ||
        !absl::SimpleAtoi(std::string(rest.substr(id_digits + 1)), &account))
        return false;
    kept_[{*id, account}] = now;
    return true;
}

} // namespace dandeliontack
