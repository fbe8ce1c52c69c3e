#include <dandeliontack/machine_list.hpp>
#include <dandeliontack/queue_table.hpp>
#include <dandeliontack/stable_hash.hpp>

#include <array>

namespace dandeliontack
{

std::uint64_t queue_id_of(std::string_view host, std::string_view path_prefix)
{
    return stable_hash(std::string(host) + '\n' + std::string(path_prefix));
}

const queue_entry* find_queue(
    const queue_table& table, std::string_view host, std::string_view path)
{
    const auto name = host.substr(0, host.find(':'));
    const queue_entry* best = nullptr;
    for (const auto& queue : table.queues)
        if (queue.host == name && path.starts_with(queue.path_prefix) &&
            (!best || queue.path_prefix.size() > best->path_prefix.size()))
            best = &queue;
    return best;
}

std::string_view to_string(machine_answer answer)
{
    constexpr std::array<std::string_view, 7> names{
        "accepted",        "fenced",  "busy",   "not in the wave",
        "unknown machine", "refused", "unknown"};
    return names.at(static_cast<std::size_t>(answer));
}

} // namespace dandeliontack
