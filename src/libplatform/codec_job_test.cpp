#include <dandeliontack/config_file.hpp>
#include <dandeliontack/record_codec.hpp>

#include <gtest/gtest.h>

#include <array>

namespace
{

using namespace dandeliontack;

constexpr job_size size{3, 4096, 1};

event make_event(job_event body)
{
    event e;
    e.origin = {log_stream::system, 5, {1, 2}, 3, 4};
    e.body = std::move(body);
    return e;
}

TEST(codec_job, every_record_comes_back_as_it_was)
{
    const std::vector<job_event> all{
        job_placed{"a", "h", size},
        job_started{"a", 7},
        job_reported{"a", 7, size},
        job_resized{"a", 7, size},
        job_action_requested{"a", 7, job_action::checkpoint},
        job_finished{"a", 7},
        job_failed{"a", 7},
        job_checkpointed{"a", 7},
        job_stopped{"a", 7},
        job_lost{"a", 7},
        job_unrunnable{"a", unrunnable_reason::exceeds_quota},
        job_reopened{"a"},
        host_suspected{"h"},
        host_cleared{"h"}};
    ASSERT_EQ(all.size(), std::variant_size_v<job_event>);
    for (const auto& body : all)
    {
        const auto bytes = encode_record(make_event(body));
        const auto back = decode_record(log_stream::system, 5, bytes);
        const auto* job = std::get_if<job_event>(&back.body);
        ASSERT_NE(job, nullptr);
        EXPECT_EQ(job->index(), body.index());
        // Equal bytes of a deterministic encoding mean equal members.
        EXPECT_EQ(encode_record(make_event(*job)), bytes);
    }
    const auto bytes = encode_record(make_event(job_placed{"a", "h", size}));
    const auto back = decode_record(log_stream::system, 5, bytes);
    const auto& placed = std::get<job_placed>(std::get<job_event>(back.body));
    EXPECT_EQ(placed.job, "a");
    EXPECT_EQ(placed.host, "h");
    EXPECT_EQ(placed.size, size);
}

TEST(codec_job, a_start_is_no_action_to_request)
{
    const auto bytes = encode_record(
        make_event(job_action_requested{"a", 7, job_action::start}));
    const auto back = decode_record(log_stream::system, 5, bytes);
    const auto* order = std::get_if<order_event>(&back.body);
    ASSERT_NE(order, nullptr);
    EXPECT_TRUE(std::holds_alternative<record_malformed>(*order));
}

TEST(codec_job, sizes_and_quotas_of_zero_are_found_together)
{
    const auto parsed = parse_config_file(std::get<ini_document>(parse_ini(
        "c.ini", "[team t]\nquota_processors = 0\nquota_memory_mb = 0\n"
                 "[job j]\nteam = t\npool = p\nkind = k\nprocessors = 0\n"
                 "memory_mb = 0\n")));
    EXPECT_EQ(
        to_string(std::get<findings>(parsed)),
        "c.ini:1: team t: quota_processors must not be zero\n"
        "c.ini:1: team t: quota_memory_mb must not be zero\n"
        "c.ini:4: job j: processors must not be zero\n"
        "c.ini:4: job j: memory_mb must not be zero\n");
}

} // namespace
