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

// The right to a shard is confirmed this often while nothing is stored.
constexpr auto renewal_interval = 600ms;
constexpr auto claim_patience = 2500ms;
// One announcement waits for another in steps of this.
constexpr auto longest_wait = 150ms;

} // namespace

shard_claim::shard_claim(
    node_context& context, store_client& store, shard_id shard)
    : context_(context),
      shard_(shard),
      writer_(
          context, store, place_of(shard, context.settings.store.partitions),
          "owner"),
      registry_writer_(
          context, store, registry_place(), "own" + std::to_string(shard)),
      announced_(context.executor)
{}

owner_record shard_claim::mine(std::uint64_t epoch, bool released) const
{
    return {
        context_.settings.node.name, context_.peer_address, context_.life,
        epoch, released};
}

asio::awaitable<bool> shard_claim::take(std::uint64_t last)
{
    std::vector<keyed_record> records{
        {std::string(shard_owner_key), encode(mine(last + 1, false)), 0}};
    return writer_.claim(last, std::move(records), claim_patience);
}

asio::awaitable<bool> shard_claim::announce(bool released)
{
    released_ = released_ || released;
    while (announcing_)
        co_await announced_.wait(longest_wait);
    if (released_ && !released)
        co_return false;
    announcing_ = true;
    std::vector<keyed_record> records{
        {owner_key(shard_), encode(mine(epoch(), released)), 0}};
    bool stored = false;
    // The registry's epoch is the shard's: only one node ever has it.
    if (registry_writer_.standing() == fenced_writer::state::held)
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
    const bool first = !std::exchange(registry_tried_, true);
    const bool claimed = co_await registry_writer_.claim(
        epoch() - 1, std::move(copy), claim_patience);
    if (!claimed || first)
        co_return claimed;
    // What the store has may be the first try, which said something else.
    co_return co_await registry_writer_.append(std::move(records));
}

asio::awaitable<void> shard_claim::announce_until(std::function<bool()> is_over)
{
    const auto began = read_clocks().steady;
    bool announced = false;
    while (!announced && !is_over())
    {
        announced = co_await announce(false);
        if (!announced)
            co_await pause_for(context_.executor, longest_wait);
    }
    context_.log.write(
        "owner", "claim_announced",
        log_line()
            .add("shard", shard_)
            .add("epoch", epoch())
            .add("announced", announced)
            .add("took_ms", (read_clocks().steady - began).count()));
}

asio::awaitable<bool> shard_claim::append(std::vector<keyed_record> records)
{
    if (records.empty())
        records.push_back(
            {std::string(shard_owner_key), encode(mine(epoch(), false)), 0});
    return writer_.append(std::move(records));
}

void shard_claim::abandon()
{
    writer_.abandon();
}

bool shard_claim::has_right() const
{
    const auto now = read_clocks().steady;
    const auto right = lease_terms().right;
    return now - writer_.confirmed() < right &&
           now - context_.announced < right;
}

std::chrono::milliseconds shard_claim::until_renewal() const
{
    return renewal_interval - (read_clocks().steady - writer_.confirmed());
}

std::uint64_t shard_claim::epoch() const
{
    return writer_.epoch();
}

const fenced_writer& shard_claim::writer() const
{
    return writer_;
}

} // namespace dandeliontack
