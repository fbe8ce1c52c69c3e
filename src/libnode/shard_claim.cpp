#include <dandeliontack/host_lease.hpp>
#include <dandeliontack/pause.hpp>
#include <dandeliontack/shard_claim.hpp>

#include <boost/asio.hpp>

#include <string>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// Interval at which an idle owner renews its claim to the shard.
constexpr auto renewal_interval = 600ms;
constexpr auto claim_timeout = 2500ms;
// Pause between attempts to announce, and the longest single wait for a
// concurrent announcement.
constexpr auto announce_retry_interval = 150ms;

} // namespace

shard_claim::shard_claim(
    node_context& context, store_client& store, shard_id shard)
    : context_(context),
      shard_(shard),
      writer_(
          context, store,
          partition_of(shard, context.settings.store.partitions), "owner"),
      registry_writer_(
          context, store, registry_partition(), "own" + std::to_string(shard)),
      announced_(context.executor)
{}

owner_record shard_claim::own_record(std::uint64_t epoch, bool released) const
{
    return {
        context_.settings.node.name, context_.peer_address,
        context_.process_incarnation, epoch, released};
}

asio::awaitable<bool> shard_claim::take(std::uint64_t last)
{
    std::vector<keyed_record> records{
        {std::string(shard_owner_key), encode(own_record(last + 1, false)), 0}};
    return writer_.claim(last, std::move(records), claim_timeout);
}

asio::awaitable<bool> shard_claim::announce(bool released)
{
    released_ = released_ || released;
    while (announcing_)
        co_await announced_.wait(announce_retry_interval);
    if (released_ && !released)
        co_return false;
    std::vector<keyed_record> records{
        {owner_key(shard_), encode(record(released)), 0}};
    co_return co_await write_registry(std::move(records));
}

asio::awaitable<bool> shard_claim::list_queues(shard_queues queues)
{
    while (announcing_)
        co_await announced_.wait(announce_retry_interval);
    if (released_)
        co_return false;
    std::vector<keyed_record> records{{queues_key(shard_), encode(queues), 0}};
    co_return co_await write_registry(std::move(records));
}

asio::awaitable<bool>
shard_claim::write_registry(std::vector<keyed_record> records)
{
    announcing_ = true;
    bool stored = false;
    // Registry records use the shard's epoch, which only one node ever holds.
    if (registry_writer_.current_state() == fenced_writer::state::held)
        stored = co_await registry_writer_.append(std::move(records));
    else
        stored = co_await claim_registry(std::move(records));
    announcing_ = false;
    announced_.notify();
    co_return stored;
}

asio::awaitable<bool>
shard_claim::claim_registry(std::vector<keyed_record> records)
{
    auto copy = records;
    const bool first = !std::exchange(registry_claim_tried_, true);
    const bool claimed = co_await registry_writer_.claim(
        epoch() - 1, std::move(copy), claim_timeout);
    if (!claimed || first)
        co_return claimed;
    // The store may hold the record of the first attempt, whose content can
    // differ from this one.
    co_return co_await registry_writer_.append(std::move(records));
}

asio::awaitable<void> shard_claim::announce_until(std::function<bool()> is_over)
{
    const auto start = read_clocks().steady;
    bool announced = false;
    while (!announced && !is_over())
    {
        announced = co_await announce(false);
        if (!announced)
            co_await pause_for(context_.executor, announce_retry_interval);
    }
    context_.log.write(
        "owner", "claim_announced",
        log_line()
            .add("shard", shard_)
            .add("epoch", epoch())
            .add("announced", announced)
            .add("took_ms", (read_clocks().steady - start).count()));
}

asio::awaitable<bool> shard_claim::append(std::vector<keyed_record> records)
{
    if (records.empty())
        records.push_back(
            {std::string(shard_owner_key), encode(record(false)), 0});
    return writer_.append(std::move(records));
}

void shard_claim::abandon()
{
    writer_.abandon();
}

bool shard_claim::is_valid() const
{
    const auto now = read_clocks().steady;
    const auto validity = lease_terms().claim_validity;
    return now - writer_.last_stored_sent_at() < validity &&
           now - context_.last_announcement_sent < validity;
}

std::chrono::milliseconds shard_claim::until_renewal() const
{
    return renewal_interval -
           (read_clocks().steady - writer_.last_stored_sent_at());
}

std::uint64_t shard_claim::epoch() const
{
    return writer_.epoch();
}

owner_record shard_claim::record(bool released) const
{
    return own_record(epoch(), released);
}

const fenced_writer& shard_claim::writer() const
{
    return writer_;
}

} // namespace dandeliontack
