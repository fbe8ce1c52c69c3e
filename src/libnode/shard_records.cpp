#include <dandeliontack/append_split.hpp>
#include <dandeliontack/shard_records.hpp>
#include <dandeliontack/stored_records.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace dandeliontack
{

namespace
{

constexpr std::size_t prefix_size = 2;
constexpr std::size_t id_digits = 16;

// A host's record without the list of its tasks is valid too: a successor then
// waits for the host with every task.
keyed_record host_record(
    const pool_engine& engine, const host_state& h, std::size_t record_bytes)
{
    auto use = engine.use_of(h);
    keyed_record record{host_key(use.id), encode(use), 0};
    if (stored_size(record) <= record_bytes)
        return record;
    use.closed = false;
    use.tasks.clear();
    record.value = encode(use);
    return record;
}

// The submission that a key of this form names: a prefix, the id, and perhaps
// more after a slash or a dot.
std::optional<std::uint64_t>
id_in_key(std::string_view key, std::string_view prefix)
{
    if (!key.starts_with(prefix))
        return std::nullopt;
    const auto rest = key.substr(prefix_size);
    const auto end = rest.substr(std::min(id_digits, rest.size()));
    if (!end.empty() && end.front() != '/' && end.front() != '.')
        return std::nullopt;
    return parse_submission_name(rest.substr(0, id_digits));
}

// The part that a key `p/ID/OCCURRENCE.PART` names.
std::optional<progress_part> part_in_key(std::string_view key)
{
    const auto id = id_in_key(key, "p/");
    if (!id || key.size() <= prefix_size + id_digits)
        return std::nullopt;
    // Followed by one more number, the two read like those of a task.
    const auto numbers = key.substr(prefix_size + id_digits + 1);
    const auto task = parse_task_name(
        submission_name(*id) + "." + std::string(numbers) + ".0");
    if (!task)
        return std::nullopt;
    return progress_part{*id, task->occurrence, task->step};
}

struct stored_submission
{
    std::optional<submission_record> record;
    std::optional<submission_phase> finished;
    std::vector<progress_record> progress;
    /// Keys beside that of the first part, each with its occurrence.
    std::vector<std::string> keys;
};

void add_part_keys(
    const stored_submission& from, submission_state& s,
    std::vector<std::string>& orphans)
{
    for (const auto& key : from.keys)
    {
        const auto task =
            key.starts_with("t/")
                ? parse_task_name(std::string_view(key).substr(prefix_size))
                : std::nullopt;
        const auto part = part_in_key(key);
        const auto occurrence = task   ? std::optional(task->occurrence)
                                : part ? std::optional(part->occurrence)
                                       : std::nullopt;
        if (!occurrence || !s.occurrences.contains(*occurrence))
            orphans.push_back(key);
        else if (task)
            s.stored_tasks.insert(*task);
        else
            s.stored_parts.insert(*part);
    }
}

} // namespace

std::vector<keyed_record> records_of(
    const pool_engine& engine, const pool_changes& changes,
    std::size_t record_bytes)
{
    std::vector<keyed_record> out;
    const auto add_tombstone = [&](std::string key) {
        out.push_back({std::move(key), {}, 0});
    };
    for (const auto id : changes.accepted)
        if (const auto* s = engine.state_of(id))
            out.push_back({submission_key(id), encode(s->record), 0});
    // A part leaves out the tasks that are stored on their own, so these come
    // first.
    for (const auto& task : changes.progressed_tasks)
        if (const auto* s = engine.state_of(task.submission);
            s && s->occurrences.contains(task.occurrence))
            out.push_back({task_key(task), encode(progress_of(*s, task)), 0});
    for (const auto& part : changes.progressed)
        if (const auto* s = engine.state_of(part.submission))
            out.push_back(
                {progress_key(part), encode(progress_of(*s, part)), 0});
    for (const auto id : changes.finished)
        if (const auto phase = engine.finished_phase(id))
        {
            progress_record ended;
            ended.finished = phase;
            out.push_back({progress_key({id, 0, 0}), encode(ended), 0});
            add_tombstone(submission_key(id));
        }
    for (const auto& part : changes.dropped_parts)
        add_tombstone(progress_key(part));
    for (const auto& task : changes.dropped_tasks)
        add_tombstone(task_key(task));
    for (const auto id : changes.forgotten)
        add_tombstone(progress_key({id, 0, 0}));
    // That a host has no run of a task any more follows from the ends in the
    // same batch, so it must not be stored without them.
    for (const auto& host : changes.dropped_hosts)
        add_tombstone(host_key(host));
    for (const auto& id : changes.used_hosts)
        if (const auto host = engine.hosts().find(id);
            host != engine.hosts().end())
            out.push_back(host_record(engine, host->second, record_bytes));
    return out;
}

restored_shard restore_engine(
    pool_engine& engine, const std::vector<keyed_record>& records, moment now)
{
    restored_shard result;
    std::map<std::uint64_t, stored_submission> submissions;
    for (const auto& record : records)
    {
        const std::string_view key = record.key;
        bool known = key == shard_owner_key;
        if (const auto id = id_in_key(key, "s/"))
        {
            auto& stored = submissions[*id];
            stored.record = decode_submission_record(record.value);
            known = stored.record.has_value();
        }
        for (const auto* prefix : {"p/", "t/"})
            if (const auto id = id_in_key(key, prefix))
                if (auto row = decode_progress(*id, record.value))
                {
                    auto& stored = submissions[*id];
                    if (row->finished)
                        stored.finished = row->finished;
                    stored.progress.push_back(std::move(*row));
                    if (key != progress_key({*id, 0, 0}))
                        stored.keys.emplace_back(key);
                    known = true;
                }
        if (key.starts_with("h/"))
            if (const auto use = decode_host_use(record.value))
            {
                engine.restore_host(*use, now);
                known = true;
            }
        if (!known)
            ++result.unreadable;
    }
    for (auto& [id, stored] : submissions)
    {
        if (stored.finished)
            engine.restore_finished(id, *stored.finished, now);
        if (stored.finished || !stored.record)
        {
            std::ranges::copy(stored.keys, std::back_inserter(result.orphans));
            if (stored.record)
                result.orphans.push_back(submission_key(id));
            continue;
        }
        // What is done as a whole first, so that its tasks are left out.
        std::ranges::stable_sort(
            stored.progress, std::greater<>{},
            [](const auto& row) { return row.occurrences_done.size(); });
        engine.restore(
            std::move(*stored.record), now, [&](submission_state& s) {
                for (const auto& row : stored.progress)
                    apply_progress(row, s);
                add_part_keys(stored, s, result.orphans);
            });
    }
    return result;
}

pool_event::records_refused subjects_of(const std::vector<std::string>& keys)
{
    pool_event::records_refused refused;
    for (const auto& key : keys)
    {
        for (const auto* prefix : {"s/", "p/", "t/"})
            if (const auto id = id_in_key(key, prefix))
                refused.submissions.push_back(*id);
        if (key.starts_with("h/"))
            refused.hosts.push_back(key.substr(prefix_size));
    }
    return refused;
}

} // namespace dandeliontack
