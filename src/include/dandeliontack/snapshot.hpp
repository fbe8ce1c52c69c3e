#pragma once

#include <dandeliontack/event.hpp>
#include <dandeliontack/state.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandeliontack
{

/// The largest part of a snapshot that one record carries, in bytes.
inline constexpr std::size_t snapshot_chunk_bytes = 64 * 1024;

/// The whole state as bytes.
std::string encode_state(const state& s);

/// The state from bytes, or nothing where they are not one.
std::optional<state> decode_state(std::string_view bytes);

/// Cuts an encoded state into the records that carry it.
std::vector<snapshot_chunk>
make_snapshot(const state& s, std::size_t chunk_bytes = snapshot_chunk_bytes);

/// Puts snapshots together from the records of the system's stream, in order.
class snapshot_assembler
{
public:
    /// Takes a record; the snapshot that it completes, or nothing. A snapshot
    /// with a part missing, a wrong checksum, or a state that does not have
    /// the hash it was written with is not used.
    std::optional<state> push(const event& e);

private:
    struct partial
    {
        snapshot_chunk first;
        std::uint64_t next_index = 0;
        std::string data;
    };

    /// One a writer; a new snapshot replaces an unfinished one.
    std::map<incarnation, partial> open_;
};

} // namespace dandeliontack
