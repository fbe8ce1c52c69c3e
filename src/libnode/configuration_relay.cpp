#include <dandeliontack/configuration_relay.hpp>
#include <dandeliontack/deflated_text.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// A read of the operator's topic waits up to 800 ms for a record, so a node
// that can use the store reads its end more often than this.
constexpr auto min_stale_time = 1200ms;
// As fractions of the time within which a configuration must be in force.
constexpr int stale_divisor = 3;
constexpr int interval_divisor = 8;

} // namespace

relay_terms relay_terms_of(std::chrono::milliseconds config_bound)
{
    relay_terms terms;
    terms.stale_after = std::max<std::chrono::milliseconds>(
        config_bound / stale_divisor, min_stale_time);
    terms.interval = config_bound / interval_divisor;
    terms.bound = config_bound;
    return terms;
}

configuration_relay::configuration_relay(relay_terms terms, boot_time started)
    : terms_(terms), started_(started), last_read_(started)
{}

const relay_terms& configuration_relay::terms() const
{
    return terms_;
}

void configuration_relay::keep(std::uint64_t version, std::string encoded)
{
    if (version <= version_)
        return;
    version_ = version;
    encoded_ = std::move(encoded);
    deflated_.clear();
}

void configuration_relay::mark_read(boot_time as_of)
{
    last_read_ = std::max(last_read_, as_of);
    confirmed_ = std::max(confirmed_, as_of);
}

void configuration_relay::mark_confirmed(const peer_version& other)
{
    if (other.version <= version_)
        confirmed_ = std::max(confirmed_, other.as_of);
}

std::chrono::milliseconds configuration_relay::age(boot_time now) const
{
    return now - confirmed_;
}

bool configuration_relay::is_overdue(boot_time now) const
{
    return age(now) >= terms_.bound;
}

bool configuration_relay::is_stale(boot_time now) const
{
    return now - last_read_ >= terms_.stale_after;
}

std::vector<node_announcement>
configuration_relay::next_peers(std::vector<node_announcement> others)
{
    const auto count = std::min(terms_.peers, others.size());
    if (count == 0)
        return {};
    next_ %= others.size();
    std::ranges::rotate(
        others, others.begin() + static_cast<std::ptrdiff_t>(next_));
    next_ += count;
    others.resize(count);
    return others;
}

std::optional<peer_version>
configuration_relay::choose(std::vector<peer_version> answers) const
{
    if (version_ == 0)
        std::erase_if(answers, [this](const peer_version& answer) {
            return answer.as_of < started_;
        });
    const auto newest =
        std::ranges::max_element(answers, {}, &peer_version::version);
    if (newest == answers.end() || newest->version <= version_)
        return std::nullopt;
    return *newest;
}

const std::string*
configuration_relay::deflated_newer_than(std::uint64_t version)
{
    if (version_ <= version)
        return nullptr;
    if (deflated_.empty())
    {
        deflated_ = deflate(encoded_);
        std::string().swap(encoded_);
    }
    return &deflated_;
}

std::uint64_t configuration_relay::version() const
{
    return version_;
}

} // namespace dandeliontack
