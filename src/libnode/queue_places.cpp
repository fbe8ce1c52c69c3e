#include <dandeliontack/queue_places.hpp>

#include <submission.pb.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace dandeliontack
{

namespace
{

// Takes the number that `text` begins with, and the space behind it.
template <class Number>
bool take_number(std::string_view& text, Number& number)
{
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || (stop != end && *stop != ' '))
        return false;
    text.remove_prefix(static_cast<std::size_t>(stop - text.data()));
    if (!text.empty())
        text.remove_prefix(1);
    return true;
}

} // namespace

std::string encode(const queue_places& places)
{
    stored::QueuePlaces out;
    out.set_version(places.version);
    for (const auto& place : places.places)
    {
        auto& row = *out.add_places();
        row.set_shard(place.shard);
        if (place.owner)
            row.set_owner(encode(*place.owner));
    }
    return out.SerializeAsString();
}

std::optional<queue_places> decode_queue_places(std::string_view bytes)
{
    stored::QueuePlaces in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    queue_places out{in.version(), {}};
    for (const auto& row : in.places())
    {
        queue_place place{row.shard(), {}};
        if (!row.owner().empty())
        {
            place.owner = decode_owner(row.owner());
            if (!place.owner)
                return std::nullopt;
        }
        out.places.push_back(std::move(place));
    }
    return out;
}

queue_places
places_in(const shard_map& registry, std::uint64_t queue, std::uint64_t version)
{
    queue_places out{version, {}};
    const auto shards = registry.shards_with(queue);
    std::ranges::transform(
        shards, std::back_inserter(out.places), [&](shard_id shard) {
            return queue_place{shard, registry.owner(shard)};
        });
    return out;
}

std::string encode(const asked_shards& asked)
{
    auto text = std::to_string(asked.version);
    for (const auto shard : asked.shards)
        text += " " + std::to_string(shard);
    return text;
}

std::optional<asked_shards> decode_asked_shards(std::string_view text)
{
    asked_shards asked;
    if (!take_number(text, asked.version))
        return std::nullopt;
    while (!text.empty())
    {
        shard_id shard = 0;
        if (!take_number(text, shard))
            return std::nullopt;
        asked.shards.insert(shard);
    }
    return asked;
}

place_search::place_search(std::uint64_t version) : asked_{version, {}} {}

void place_search::add(shard_id shard)
{
    known_.insert(shard);
}

void place_search::hear_of(std::uint64_t version)
{
    heard_ = std::max(heard_, version);
}

void place_search::raise_version()
{
    if (heard_ > asked_.version)
        asked_ = {heard_, {}};
}

std::vector<shard_id> place_search::unasked() const
{
    std::vector<shard_id> out;
    std::ranges::set_difference(known_, asked_.shards, std::back_inserter(out));
    return out;
}

void place_search::mark_asked(const std::vector<shard_id>& shards)
{
    asked_.shards.insert(shards.begin(), shards.end());
}

const asked_shards& place_search::asked() const
{
    return asked_;
}

} // namespace dandeliontack
