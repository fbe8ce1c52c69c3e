#include <dandeliontack/kept_memory.hpp>
#include <dandeliontack/pool_state.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

namespace
{

// What a node of a map and the allocator use beside the value.
constexpr std::uint64_t node_bytes = 64;
constexpr std::uint64_t allocation_bytes = 16;
// A task's checkpoint, where it isn't long.
constexpr std::uint64_t short_text_bytes = 32;

std::uint64_t bytes_of(const std::string& text)
{
    return text.capacity() > std::string().capacity()
               ? text.capacity() + allocation_bytes
               : 0;
}

} // namespace

kept_share::kept_share(std::shared_ptr<kept_memory> memory)
    : memory_(memory ? std::move(memory) : std::make_shared<kept_memory>())
{}

kept_share::kept_share(kept_share&& other) noexcept
    : memory_(std::move(other.memory_)), held_(std::exchange(other.held_, 0))
{}

kept_share& kept_share::operator=(kept_share&& other) noexcept
{
    std::swap(memory_, other.memory_);
    std::swap(held_, other.held_);
    return *this;
}

kept_share::~kept_share()
{
    // Nothing is left of one that was moved from.
    if (memory_)
        memory_->held -= held_;
}

void kept_share::replace(std::uint64_t before, std::uint64_t now)
{
    held_ += now - before;
    memory_->held += now - before;
}

std::uint64_t memory_of_runs(std::size_t runs)
{
    return runs * (sizeof(host_run) + sizeof(task_ref) + node_bytes);
}

std::uint64_t memory_of_reports(const task_state& task)
{
    const auto checkpoint = bytes_of(task.checkpoint);
    return checkpoint - std::min(checkpoint, short_text_bytes) +
           bytes_of(task.host) +
           task.failed_runs.size() * (sizeof(std::uint32_t) + node_bytes) +
           task.failed_on.size() * (sizeof(std::string) + node_bytes);
}

submission_memory memory_of(const submission_record& record)
{
    submission_memory out;
    out.fixed = sizeof(submission_state) + node_bytes + allocation_bytes +
                bytes_of(record.spec.text) + bytes_of(record.terms.route) +
                bytes_of(record.terms.pool) + bytes_of(record.account) +
                record.spec.steps.capacity() * sizeof(step_spec);
    out.occurrence =
        sizeof(occurrence_state) + node_bytes + 2 * allocation_bytes;
    for (const auto& step : record.spec.steps)
    {
        out.fixed += bytes_of(step.label) + bytes_of(step.rack) +
                     bytes_of(step.image) + allocation_bytes +
                     step.dependencies.capacity() * sizeof(std::uint32_t);
        // The vector of steps grows by doubling.
        out.occurrence += 2 * sizeof(step_state) + allocation_bytes +
                          step.count * (sizeof(task_state) + short_text_bytes);
    }
    return out;
}

} // namespace dandeliontack
