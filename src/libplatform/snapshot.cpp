#include "snapshot_codecs.hpp"
#include <dandeliontack/snapshot.hpp>

#include <algorithm>

namespace dandeliontack
{

namespace
{

// FNV-1a.
std::uint64_t checksum_of(std::string_view bytes)
{
    constexpr std::uint64_t basis = 0xcbf29ce484222325;
    constexpr std::uint64_t prime = 0x100000001b3;
    std::uint64_t hash = basis;
    for (const char c : bytes)
        hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    return hash;
}

bool same_snapshot(const snapshot_chunk& a, const snapshot_chunk& b)
{
    return a.system_end == b.system_end && a.operators_end == b.operators_end &&
           a.state_hash == b.state_hash && a.count == b.count;
}

// The state of a whole snapshot if it is what was written.
std::optional<state>
verified_state(const snapshot_chunk& first, std::string_view data)
{
    auto s = decode_state(data);
    if (!s || hash_of(*s) != first.state_hash ||
        s->order.system_end != first.system_end ||
        s->order.operators_end != first.operators_end)
        return std::nullopt;
    return s;
}

} // namespace

std::string encode_state(const state& s)
{
    wire::state_snapshot out;
    encode(s.order, *out.mutable_order());
    encode(s.config, *out.mutable_config());
    encode(s.membership, *out.mutable_membership());
    encode(s.fleet, *out.mutable_fleet());
    encode(s.jobs, *out.mutable_jobs());
    return out.SerializeAsString();
}

std::optional<state> decode_state(std::string_view bytes)
{
    wire::state_snapshot in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    return state{
        decode(in.order()), decode(in.config()), decode(in.membership()),
        decode(in.fleet()), decode(in.jobs())};
}

std::vector<snapshot_chunk>
make_snapshot(const state& s, std::size_t chunk_bytes)
{
    const auto bytes = encode_state(s);
    const auto count = std::max<std::size_t>(
        1, (bytes.size() + chunk_bytes - 1) / chunk_bytes);
    const auto hash = hash_of(s);
    std::vector<snapshot_chunk> chunks;
    for (std::size_t i = 0; i < count; ++i)
    {
        auto data = bytes.substr(i * chunk_bytes, chunk_bytes);
        const auto checksum = checksum_of(data);
        chunks.push_back(
            {s.order.system_end, s.order.operators_end, hash, i, count,
             checksum, std::move(data)});
    }
    return chunks;
}

std::optional<state> snapshot_assembler::push(const event& e)
{
    const auto* body = std::get_if<order_event>(&e.body);
    const auto* chunk = body ? std::get_if<snapshot_chunk>(body) : nullptr;
    if (!chunk)
        return std::nullopt;
    auto& held = open_[e.origin.writer];
    if (chunk->index == 0)
        held = {*chunk, 0, {}};
    // A second copy of a record is not the next part and is passed over.
    if (!same_snapshot(held.first, *chunk) || held.next_index != chunk->index ||
        checksum_of(chunk->data) != chunk->checksum)
        return std::nullopt;
    ++held.next_index;
    held.data += chunk->data;
    if (held.next_index != chunk->count)
        return std::nullopt;
    auto s = verified_state(held.first, held.data);
    open_.erase(e.origin.writer);
    return s;
}

} // namespace dandeliontack
