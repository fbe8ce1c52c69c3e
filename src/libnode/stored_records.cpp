#include "submission.pb.h"
#include <dandeliontack/stored_records.hpp>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <array>
#include <limits>

namespace dandeliontack
{

namespace
{

using std::chrono::milliseconds;

// Queues of which a shard may hold submissions, eight bytes each.
constexpr std::size_t max_listed_queues = 4096;
constexpr std::size_t bits_per_byte = 8;

// Times are added and subtracted, so they must be far from the ends of their
// type, which only those of corrupted records are not.
bool is_time(std::int64_t number)
{
    constexpr milliseconds max_time = std::chrono::years(100'000);
    return number >= -max_time.count() && number <= max_time.count();
}

template <class Message>
std::optional<Message> parse(std::string_view bytes)
{
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    return message;
}

// How often a field of a message occurs; a step of no bytes would otherwise
// become an object of some hundred.
std::size_t count_fields(std::string_view bytes, int number)
{
    using google::protobuf::internal::WireFormatLite;
    google::protobuf::io::CodedInputStream in(
        reinterpret_cast<const std::uint8_t*>(bytes.data()),
        static_cast<int>(bytes.size()));
    std::size_t count = 0;
    for (auto tag = in.ReadTag(); tag != 0; tag = in.ReadTag())
    {
        count += WireFormatLite::GetTagFieldNumber(tag) == number ? 1 : 0;
        if (!WireFormatLite::SkipField(&in, tag))
            break;
    }
    return count;
}

void put(const step_spec& step, stored::Step& out)
{
    out.set_count(step.count);
    out.set_cpu_milli(step.need.cpu_milli);
    out.set_memory_mb(step.need.memory_mb);
    out.set_accelerators(step.need.accelerators);
    out.set_estimate_ms(step.estimate.count());
    out.mutable_after()->Add(
        step.dependencies.begin(), step.dependencies.end());
    out.set_checkpoints(step.checkpoints);
    out.set_gang(step.gang);
    out.set_same_rack(step.same_rack);
    out.set_label(step.label);
    out.set_rack(step.rack);
    out.set_most_per_host(step.most_per_host);
    out.set_speculative(step.speculative);
    out.set_long_running(step.long_running);
    out.set_image(step.image);
    out.set_latency_objective_ms(step.latency_objective.count());
    out.set_fills(step.best_effort);
    out.set_may_miss(step.max_unavailable);
}

step_spec step_of(const stored::Step& in)
{
    step_spec step;
    step.count = in.count();
    step.need = {in.cpu_milli(), in.memory_mb(), in.accelerators()};
    step.estimate = milliseconds(in.estimate_ms());
    step.dependencies.assign(in.after().begin(), in.after().end());
    step.checkpoints = in.checkpoints();
    step.gang = in.gang();
    step.same_rack = in.same_rack();
    step.label = in.label();
    step.rack = in.rack();
    step.most_per_host = in.most_per_host();
    step.speculative = in.speculative();
    step.long_running = in.long_running();
    step.image = in.image();
    step.latency_objective = milliseconds(in.latency_objective_ms());
    step.best_effort = in.fills();
    step.max_unavailable = in.may_miss();
    return step;
}

void put(const queue_terms& terms, stored::Terms& out)
{
    out.set_route(terms.route);
    out.set_pool(terms.pool);
    out.set_priority(terms.priority);
    out.set_max_attempts(terms.max_attempts);
    out.set_stretch(terms.stretch);
    out.set_target_ms(terms.target.count());
    out.set_queue(terms.queue);
    out.set_version(terms.version);
    if (!terms.advice)
        return;
    out.set_has_advice(true);
    out.set_advice_decide_ms(terms.advice->decide.count());
    out.set_advice_each_ms(terms.advice->each.count());
    out.set_advice_valid_ms(terms.advice->valid.count());
}

queue_terms terms_of(const stored::Terms& in)
{
    queue_terms terms;
    terms.route = in.route();
    terms.pool = in.pool();
    terms.priority = in.priority();
    terms.max_attempts = in.max_attempts();
    terms.stretch = in.stretch();
    terms.target = milliseconds(in.target_ms());
    terms.queue = in.queue();
    terms.version = in.version();
    if (in.has_advice())
        terms.advice = advice_terms{
            milliseconds(in.advice_decide_ms()),
            milliseconds(in.advice_each_ms()),
            milliseconds(in.advice_valid_ms())};
    return terms;
}

progress_record::task row_of(const task_ref& task, const task_state& t)
{
    return {task,           is_done(t),  t.failed_runs, t.older_failures,
            t.recorded_run, t.checkpoint};
}

// The task with a number that counts over all steps; empty if there is none.
std::optional<task_ref> task_with_number(
    const submission_state& s, std::uint32_t occurrence, std::uint64_t number)
{
    for (std::uint32_t i = 0; i < s.record.spec.steps.size(); ++i)
    {
        const auto count = s.record.spec.steps[i].count;
        if (number < count)
            return task_ref{
                s.record.id, occurrence, i, static_cast<std::uint32_t>(number)};
        number -= count;
    }
    return std::nullopt;
}

// The state of a task that a record names; nullptr if the submission has no
// such task, or its occurrence is done. Opens the occurrence.
task_state* state_of(submission_state& s, const task_ref& task)
{
    const auto& steps = s.record.spec.steps;
    if (task.occurrence >=
            std::max<std::uint32_t>(s.record.spec.repetitions, 1) ||
        s.occurrences_done.contains(task.occurrence) ||
        task.step >= steps.size() || task.index >= steps[task.step].count)
        return nullptr;
    auto& occurrence = s.occurrences[task.occurrence];
    if (occurrence.steps.empty())
        for (const auto& step : steps)
            occurrence.steps.emplace_back().tasks.resize(step.count);
    return &occurrence.steps[task.step].tasks[task.index];
}

// Nodes of the same deployment send no values outside this range.
constexpr std::int64_t max_room = std::int64_t{1} << 50U;

resources room_of(const stored::Room& room)
{
    const auto bounded = [](std::int64_t value) {
        return std::clamp(value, -max_room, max_room);
    };
    return {
        bounded(room.cpu_milli()), bounded(room.memory_mb()),
        bounded(room.accelerators())};
}

void put(const resources& room, stored::Room& out)
{
    out.set_cpu_milli(room.cpu_milli);
    out.set_memory_mb(room.memory_mb);
    out.set_accelerators(room.accelerators);
}

} // namespace

std::string encode(const submission_record& record)
{
    stored::Submission out;
    out.set_id(record.id);
    out.set_text(record.spec.text);
    for (const auto& step : record.spec.steps)
        put(step, *out.add_steps());
    out.set_repetitions(record.spec.repetitions);
    out.set_first_due_ms(record.spec.first_due.time_since_epoch().count());
    out.set_interval_ms(record.spec.interval.count());
    put(record.terms, *out.mutable_terms());
    out.set_accepted_ms(record.accepted.time_since_epoch().count());
    out.set_epoch(record.epoch);
    out.set_account(record.account);
    return out.SerializeAsString();
}

std::optional<submission_record>
decode_submission_record(std::string_view bytes)
{
    if (count_fields(bytes, stored::Submission::kStepsFieldNumber) > max_steps)
        return std::nullopt;
    const auto in = parse<stored::Submission>(bytes);
    if (!in)
        return std::nullopt;
    submission_record record;
    record.id = in->id();
    record.spec.text = in->text();
    for (const auto& step : in->steps())
        record.spec.steps.push_back(step_of(step));
    record.spec.repetitions = in->repetitions();
    record.spec.first_due = wall_time(milliseconds(in->first_due_ms()));
    record.spec.interval = milliseconds(in->interval_ms());
    record.terms = terms_of(in->terms());
    record.accepted = wall_time(milliseconds(in->accepted_ms()));
    record.epoch = in->epoch();
    record.account = in->account();
    const auto& terms = in->terms();
    const std::array times{in->first_due_ms(),       in->interval_ms(),
                           in->accepted_ms(),        terms.target_ms(),
                           terms.advice_decide_ms(), terms.advice_each_ms(),
                           terms.advice_valid_ms()};
    if (!check_submission(record.spec).empty() ||
        !std::ranges::all_of(times, is_time) ||
        !std::ranges::all_of(in->steps(), [](const stored::Step& step) {
            return is_time(step.estimate_ms()) &&
                   is_time(step.latency_objective_ms());
        }))
        return std::nullopt;
    return record;
}

std::string encode(const progress_record& record)
{
    stored::Progress out;
    if (record.finished)
        out.set_finished(static_cast<std::uint32_t>(*record.finished) + 1);
    out.set_cancelled(record.cancelled);
    for (const auto& [begin, end] : record.occurrences_done.ranges())
    {
        auto& range = *out.add_done_occurrences();
        range.set_first(static_cast<std::uint32_t>(begin));
        range.set_count(end - begin);
    }
    out.set_occurrence(record.occurrence);
    out.set_first_task(record.first_task);
    out.set_done(record.done_bits);
    for (const auto& task : record.tasks)
    {
        auto& row = *out.add_tasks();
        row.set_occurrence(task.task.occurrence);
        row.set_step(task.task.step);
        row.set_index(task.task.index);
        row.set_done(task.done);
        for (const auto run : task.failed_runs)
            row.add_failed_runs(run);
        row.set_older_failures(task.older_failures);
        row.set_recorded_run(task.recorded_run);
        row.set_checkpoint(task.checkpoint);
    }
    return out.SerializeAsString();
}

std::optional<progress_record>
decode_progress(std::uint64_t submission, std::string_view bytes)
{
    const auto in = parse<stored::Progress>(bytes);
    constexpr auto last_phase =
        static_cast<std::uint32_t>(submission_phase::cancelled);
    if (!in || in->finished() > last_phase + 1)
        return std::nullopt;
    progress_record record;
    if (in->finished() > 0)
        record.finished = static_cast<submission_phase>(in->finished() - 1);
    record.cancelled = in->cancelled();
    for (const auto& range : in->done_occurrences())
        record.occurrences_done.insert(
            range.first(),
            std::min<std::uint64_t>(
                range.count(), std::numeric_limits<std::uint32_t>::max()));
    record.occurrence = in->occurrence();
    record.first_task = in->first_task();
    record.done_bits = in->done();
    for (const auto& row : in->tasks())
        record.tasks.push_back(
            {{submission, row.occurrence(), row.step(), row.index()},
             row.done(),
             {row.failed_runs().begin(), row.failed_runs().end()},
             row.older_failures(),
             row.recorded_run(),
             row.checkpoint()});
    return record;
}

std::string encode(const host_use& record)
{
    stored::HostUse out;
    out.set_id(record.id);
    out.set_born_ms(record.born.count());
    out.set_pool(record.pool);
    out.set_address(record.address);
    out.set_closed(record.closed);
    for (const auto& task : record.tasks)
    {
        auto& row = *out.add_tasks();
        row.set_submission(task.submission);
        row.set_occurrence(task.occurrence);
        row.set_step(task.step);
        row.set_index(task.index);
    }
    return out.SerializeAsString();
}

std::optional<host_use> decode_host_use(std::string_view bytes)
{
    const auto in = parse<stored::HostUse>(bytes);
    if (!in || in->id().empty() || !is_time(in->born_ms()))
        return std::nullopt;
    host_use use{in->id(),     milliseconds(in->born_ms()),
                 in->pool(),   in->address(),
                 in->closed(), {}};
    for (const auto& row : in->tasks())
        use.tasks.push_back(
            {row.submission(), row.occurrence(), row.step(), row.index()});
    return use;
}

std::string encode(const node_announcement& record)
{
    stored::Node out;
    out.set_name(record.name);
    out.set_address(record.address);
    out.set_incarnation_high(record.process_incarnation.high);
    out.set_incarnation_low(record.process_incarnation.low);
    out.set_beat(record.sequence);
    out.set_leaving(record.leaving);
    out.set_cpu_milli(record.cpu_milli);
    out.set_epoch(record.epoch);
    out.set_interval_ms(static_cast<std::uint32_t>(record.interval.count()));
    out.set_without_store(record.without_store);
    out.set_said_ms(record.at.time_since_epoch().count());
    return out.SerializeAsString();
}

std::optional<node_announcement> decode_announcement(std::string_view bytes)
{
    const auto in = parse<stored::Node>(bytes);
    if (!in || in->name().empty() || !is_time(in->said_ms()))
        return std::nullopt;
    return node_announcement{
        in->name(),
        in->address(),
        {in->incarnation_high(), in->incarnation_low()},
        in->beat(),
        in->leaving(),
        in->cpu_milli(),
        in->epoch(),
        std::chrono::milliseconds(in->interval_ms()),
        in->without_store(),
        wall_time(std::chrono::milliseconds(in->said_ms()))};
}

std::string encode(const owner_record& record)
{
    stored::Owner out;
    out.set_node(record.node);
    out.set_address(record.address);
    out.set_incarnation_high(record.process_incarnation.high);
    out.set_incarnation_low(record.process_incarnation.low);
    out.set_epoch(record.epoch);
    out.set_released(record.released);
    return out.SerializeAsString();
}

std::optional<owner_record> decode_owner(std::string_view bytes)
{
    const auto in = parse<stored::Owner>(bytes);
    if (!in || in->epoch() == 0)
        return std::nullopt;
    return owner_record{
        in->node(),
        in->address(),
        {in->incarnation_high(), in->incarnation_low()},
        in->epoch(),
        in->released()};
}

bool shard_queues::contains(std::uint64_t queue) const
{
    return all || queues.contains(queue);
}

void shard_queues::insert(std::uint64_t queue)
{
    if (!all)
        queues.insert(queue);
    if (queues.size() <= max_listed_queues)
        return;
    queues.clear();
    all = true;
}

std::string encode(const shard_queues& record)
{
    stored::ShardQueues out;
    for (const auto queue : record.queues)
        out.add_queues(queue);
    out.set_all(record.all);
    return out.SerializeAsString();
}

std::optional<shard_queues> decode_shard_queues(std::string_view bytes)
{
    const auto in = parse<stored::ShardQueues>(bytes);
    if (!in)
        return std::nullopt;
    shard_queues record;
    record.all = in->all();
    for (const auto queue : in->queues())
        record.insert(queue);
    return record;
}

std::string encode(const wave_record& record)
{
    stored::WaveProgress out;
    out.set_wave(record.wave);
    for (const auto& machine : record.begun)
        out.add_begun(machine);
    for (const auto& machine : record.ordered)
        out.add_ordered(machine);
    out.set_completed(record.completed);
    out.set_began_ms(record.began.time_since_epoch().count());
    return out.SerializeAsString();
}

std::optional<wave_record> decode_wave_record(std::string_view bytes)
{
    const auto in = parse<stored::WaveProgress>(bytes);
    if (!in || in->wave().empty() || !is_time(in->began_ms()))
        return std::nullopt;
    return wave_record{
        in->wave(),
        {in->begun().begin(), in->begun().end()},
        {in->ordered().begin(), in->ordered().end()},
        in->completed(),
        wall_time(milliseconds(in->began_ms()))};
}

std::string encode(const std::vector<pool_demand>& demands)
{
    stored::Demands out;
    for (const auto& demand : demands)
    {
        auto& row = *out.add_pools();
        row.set_pool(demand.pool);
        row.set_running(demand.running);
        row.set_lasting(demand.long_running);
        row.set_waiting_ms(demand.waiting_ms);
        row.set_late_running(demand.late_running);
        row.set_late_ms(demand.late_ms);
        row.set_fast_rate(demand.arrivals.fast.rate);
        row.set_fast_variance(demand.arrivals.fast.variance);
        row.set_slow_rate(demand.arrivals.slow.rate);
        row.set_slow_variance(demand.arrivals.slow.variance);
        row.set_hosts(demand.hosts);
        row.set_lasting_hosts(demand.long_running_hosts);
        row.set_leaving(demand.draining);
        for (const auto& id : demand.idle)
            row.add_idle(id);
        row.set_epoch(demand.answered.epoch);
        row.set_answered_ms(demand.answered.at.time_since_epoch().count());
    }
    return out.SerializeAsString();
}

std::optional<std::vector<pool_demand>> decode_demands(std::string_view bytes)
{
    const auto in = parse<stored::Demands>(bytes);
    if (!in)
        return std::nullopt;
    std::vector<pool_demand> demands;
    for (const auto& row : in->pools())
        demands.push_back(
            {row.pool(),
             row.running(),
             row.lasting(),
             row.waiting_ms(),
             row.late_running(),
             row.late_ms(),
             0,
             {{row.fast_rate(), row.fast_variance()},
              {row.slow_rate(), row.slow_variance()}},
             row.hosts(),
             row.leaving(),
             row.lasting_hosts(),
             {row.idle().begin(), row.idle().end()},
             {row.epoch(), boot_time(milliseconds(row.answered_ms()))}});
    return demands;
}

std::string encode(const lent_hosts& wanted)
{
    stored::Lendings out;
    for (const auto& [pool, hosts] : wanted)
    {
        auto& row = *out.add_pools();
        row.set_pool(pool);
        row.set_hosts(hosts);
    }
    return out.SerializeAsString();
}

std::optional<lent_hosts> decode_lent_hosts(std::string_view bytes)
{
    const auto in = parse<stored::Lendings>(bytes);
    if (!in)
        return std::nullopt;
    lent_hosts wanted;
    for (const auto& row : in->pools())
        wanted[row.pool()] = row.hosts();
    return wanted;
}

std::string encode(const allotment_call& call)
{
    stored::Lendings out;
    auto& all = *out.mutable_allotments();
    all.set_duty_epoch(call.duty_epoch);
    all.set_sequence(call.sequence);
    all.set_owner_epoch(call.owner_epoch);
    all.set_version(call.version);
    all.set_full(call.full);
    for (const auto& item : call.rows)
    {
        auto& row = *all.add_rows();
        row.set_account(item.account);
        put(item.allotted, *row.mutable_allotted());
    }
    return out.SerializeAsString();
}

std::optional<allotment_call> decode_allotment_call(std::string_view bytes)
{
    const auto in = parse<stored::Lendings>(bytes);
    if (!in || !in->has_allotments())
        return std::nullopt;
    const auto& all = in->allotments();
    allotment_call call{all.duty_epoch(), all.sequence(), all.owner_epoch(),
                        all.version(),    all.full(),     {}};
    for (const auto& row : all.rows())
        call.rows.push_back({row.account(), room_of(row.allotted())});
    return call;
}

std::string encode(const allotment_report& report)
{
    stored::Demands out;
    auto& all = *out.mutable_allotments();
    all.set_owner_epoch(report.owner_epoch);
    all.set_duty_epoch(report.duty_epoch);
    all.set_sequence(report.sequence);
    all.set_version(report.version);
    all.set_settled(report.settled);
    all.set_full(report.full);
    for (const auto& item : report.rows)
    {
        auto& row = *all.add_rows();
        row.set_account(item.account);
        put(item.allotted, *row.mutable_allotted());
        put(item.used, *row.mutable_used());
        put(item.wanted, *row.mutable_wanted());
        put(item.unit, *row.mutable_unit());
    }
    return out.SerializeAsString();
}

std::optional<allotment_report> decode_allotment_report(std::string_view bytes)
{
    const auto in = parse<stored::Demands>(bytes);
    if (!in || !in->has_allotments())
        return std::nullopt;
    const auto& all = in->allotments();
    allotment_report report{
        all.owner_epoch(),
        all.duty_epoch(),
        all.sequence(),
        all.version(),
        all.settled(),
        all.full(),
        {}};
    for (const auto& row : all.rows())
        report.rows.push_back(
            {row.account(), room_of(row.allotted()), room_of(row.used()),
             room_of(row.wanted()), room_of(row.unit())});
    return report;
}

std::string encode(const fleet_layout& layout)
{
    stored::Layout out;
    out.set_cells(layout.cells);
    for (const auto& [rack, cell] : layout.racks)
    {
        auto& row = *out.add_racks();
        row.set_rack(rack);
        row.set_cell(cell);
    }
    return out.SerializeAsString();
}

std::optional<fleet_layout> decode_layout(std::string_view bytes)
{
    const auto in = parse<stored::Layout>(bytes);
    if (!in || in->cells() == 0 || in->cells() > max_cells)
        return std::nullopt;
    fleet_layout layout;
    layout.cells = in->cells();
    for (const auto& row : in->racks())
    {
        if (row.cell() >= layout.cells)
            return std::nullopt;
        layout.racks[row.rack()] = row.cell();
    }
    return layout;
}

progress_record
progress_of(const submission_state& s, const progress_part& part)
{
    progress_record record;
    if (part.occurrence == 0 && part.part == 0)
    {
        record.cancelled = s.cancelled_in != 0;
        record.occurrences_done = s.occurrences_done;
    }
    record.occurrence = part.occurrence;
    record.first_task = part.part * tasks_per_part;
    std::size_t number = 0;
    for_each_task(s, part, [&](const task_ref& task, const task_state& t) {
        const auto at = number++;
        if (is_done(t))
        {
            record.done_bits.resize(
                std::max(record.done_bits.size(), at / bits_per_byte + 1));
            record.done_bits[at / bits_per_byte] = static_cast<char>(
                static_cast<unsigned char>(
                    record.done_bits[at / bits_per_byte]) |
                (1U << (at % bits_per_byte)));
        }
        else if (t.recorded_run > 0 && !has_long_state(t))
            record.tasks.push_back(row_of(task, t));
    });
    return record;
}

progress_record progress_of(const submission_state& s, const task_ref& task)
{
    progress_record record;
    record.tasks.push_back(row_of(
        task, s.occurrences.at(task.occurrence)
                  .steps.at(task.step)
                  .tasks.at(task.index)));
    return record;
}

// Earlier versions stored long-running tasks as done if they had ended so.
void apply_progress(const progress_record& record, submission_state& s)
{
    if (record.cancelled)
        s.cancelled_in = 1;
    for (const auto& [begin, end] : record.occurrences_done.ranges())
        s.occurrences_done.insert(
            static_cast<std::uint32_t>(begin), end - begin);
    for (std::size_t at = 0; at < record.done_bits.size() * bits_per_byte; ++at)
    {
        const auto byte =
            static_cast<unsigned char>(record.done_bits[at / bits_per_byte]);
        if ((byte >> (at % bits_per_byte) & 1U) == 0)
            continue;
        const auto task = task_with_number(
            s, record.occurrence, std::uint64_t{record.first_task} + at);
        if (auto* t = task ? state_of(s, *task) : nullptr;
            t && !s.record.spec.steps[task->step].long_running)
            t->phase = task_phase::done;
    }
    for (const auto& row : record.tasks)
    {
        auto* t = state_of(s, row.task);
        if (!t || t->phase == task_phase::done ||
            row.recorded_run < t->recorded_run)
            continue;
        const bool is_done =
            row.done && !s.record.spec.steps[row.task.step].long_running;
        t->phase = is_done ? task_phase::done : task_phase::waiting;
        t->failed_runs = row.failed_runs;
        t->older_failures = row.older_failures;
        t->recorded_run = row.recorded_run;
        t->run = row.recorded_run;
        t->checkpoint = row.checkpoint;
    }
}

std::string submission_key(std::uint64_t id)
{
    return "s/" + submission_name(id);
}

std::string progress_key(const progress_part& part)
{
    auto first = "p/" + submission_name(part.submission);
    if (part.occurrence == 0 && part.part == 0)
        return first;
    return first + "/" + std::to_string(part.occurrence) + "." +
           std::to_string(part.part);
}

std::string task_key(const task_ref& task)
{
    return "t/" + task_name(task);
}

std::string host_key(std::string_view id)
{
    return "h/" + std::string(id);
}

} // namespace dandeliontack
