#pragma once

#include <dandeliontack/submission.hpp>

#include <cstdint>
#include <limits>
#include <memory>

namespace dandeliontack
{

/// What the submissions of all shards of a node keep in memory, in bytes. For
/// one thread.
struct kept_memory
{
    std::uint64_t limit = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t held = 0;

    bool has_room(std::uint64_t bytes) const
    {
        return held <= limit && bytes <= limit - held;
    }
};

/// What one engine holds of it; given back when the engine goes.
class kept_share
{
public:
    explicit kept_share(std::shared_ptr<kept_memory> memory);
    ~kept_share();
    kept_share(kept_share&& other) noexcept;
    kept_share& operator=(kept_share&& other) noexcept;

    /// Replaces what was held for one object.
    void replace(std::uint64_t before, std::uint64_t now);
    bool has_room(std::uint64_t bytes) const
    {
        return memory_->has_room(bytes);
    }

private:
    std::shared_ptr<kept_memory> memory_;
    std::uint64_t held_ = 0;
};

/// The bytes that a submission keeps.
struct submission_memory
{
    /// Whatever becomes of it.
    std::uint64_t fixed = 0;
    /// For each occurrence that is due and not done.
    std::uint64_t occurrence = 0;
};
submission_memory memory_of(const submission_record& record);

/// The bytes that runs on hosts take.
std::uint64_t memory_of_runs(std::size_t runs);

struct task_state;
/// The bytes of what hosts have reported of a task, beyond those that are
/// counted for every task.
std::uint64_t memory_of_reports(const task_state& task);

/// The bytes that are kept of a submission that has finished.
inline constexpr std::uint64_t finished_submission_bytes = 128;

} // namespace dandeliontack
