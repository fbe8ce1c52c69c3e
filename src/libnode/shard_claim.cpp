#include <dandeliontack/host_lease.hpp>
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
constexpr auto renewal_interval = 900ms;
constexpr auto claim_patience = 2500ms;

} // namespace

shard_claim::shard_claim(
    node_context& context, store_client& store, shard_id shard)
    : context_(context),
      shard_(shard),
      writer_(
          context, store, place_of(shard, context.settings.store.partitions),
          "owner"),
      registry_writer_(
          context, store, registry_place(), "own" + std::to_string(shard))
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
    std::vector<keyed_record> records{
        {owner_key(shard_), encode(mine(epoch(), released)), 0}};
    if (registry_writer_.standing() != fenced_writer::state::idle)
        return registry_writer_.append(std::move(records));
    return registry_writer_.claim(
        epoch() - 1, std::move(records), claim_patience, true);
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
