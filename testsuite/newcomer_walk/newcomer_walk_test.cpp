// What docs/operators/first-steps.md tells a newcomer to do, with the same
// configuration: check, diff, publish, watch, a change, a wave, a failure and
// the report.

#include "harness/cluster.hpp"

#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <iterator>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
namespace json = boost::json;

// The page's blocks that are led by a line `FILE:`, by that name.
std::map<std::string, std::string>
files_of_page(const std::string& name_of_page)
{
    std::ifstream page(TACK_SOURCE_DIR "/docs/operators/" + name_of_page);
    std::map<std::string, std::string> files;
    std::string name;
    for (std::string line; std::getline(page, line);)
    {
        if (line.ends_with(".ini:"))
            name = line.substr(0, line.size() - 1);
        else if (line.starts_with("    ") && !name.empty())
            files[name] += line.substr(4) + "\n";
        else if (!line.empty())
            name.clear();
    }
    return files;
}

class newcomer_walk : public ::testing::Test
{
protected:
    newcomer_walk()
    {
        for (const auto* name : {"w1", "w2", "w3"})
            system.add_worker(name);
        control = &system.add_control("control-1");
        entry = &system.add_entry("entry-1", control->grpc);
        for (const auto& [name, text] : files_of_page("first-steps.md"))
            files[name] = system.folder.write(name, text);
    }

    program_result tackctl(std::vector<std::string> words)
    {
        return system.tackctl(control->admin, std::move(words));
    }

    json::object report()
    {
        const auto result = run_program(
            "src/tack-report/tack-report",
            {"--entries=" + to_string(entry->admin),
             "--controls=" + to_string(control->admin), "--samples=1",
             "--samples_file=" + (system.folder.path() / "samples").string(),
             "--format=json"},
            system.folder.path() / "report.log");
        EXPECT_EQ(result.exit_code, 0) << result.errors;
        return json::parse(result.output).as_object();
    }

    void kill_worker(const std::string& name)
    {
        auto& worker = system.workers.at(name);
        worker.send_signal(SIGKILL);
        EXPECT_TRUE(worker.wait_exit(std::chrono::seconds(10)));
    }

    cluster system;
    control_process* control = nullptr;
    entry_process* entry = nullptr;
    std::map<std::string, std::string> files;
};

TEST_F(newcomer_walk, every_step_does_what_the_page_says)
{
    ASSERT_TRUE(files.contains("first.ini") && files.contains("change.ini"));
    const auto first = files["first.ini"];
    EXPECT_EQ(tackctl({"check", first}).exit_code, 0);
    EXPECT_EQ(tackctl({"diff", first}).exit_code, 6);
    EXPECT_EQ(tackctl({"publish", first}).exit_code, 0);
    EXPECT_EQ(tackctl({"diff", first}).exit_code, 0);
    const auto watched =
        tackctl({"watch", to_string(control->admin), to_string(entry->admin)});
    EXPECT_EQ(watched.exit_code, 0) << watched.output;
    EXPECT_NE(watched.output.find("in force everywhere"), std::string::npos);
    ASSERT_TRUE(routes_to(*entry, "citations", 2));
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(
            get(entry->callers, "/services/citations/x").result_int(), 200U);

    const auto change = files["change.ini"];
    const auto shown = tackctl({"diff", change});
    EXPECT_EQ(shown.exit_code, 6);
    EXPECT_NE(
        shown.output.find("deadline_ms: \"2000\" -> \"4000\""),
        std::string::npos)
        << shown.output;
    EXPECT_EQ(tackctl({"publish", change}).exit_code, 0);
    const auto waves = tackctl({"status", "waves"});
    EXPECT_EQ(waves.output, "wave march: revision 1, pools registry\n");

    // One worker is killed before it leaves the host list: retries answer
    // all the same. Then none is left.
    EXPECT_EQ(report().at("services").as_array().size(), 1U);
    kill_worker("w1");
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(
            get(entry->callers, "/services/citations/x").result_int(), 200U);
    kill_worker("w2");
    for (int i = 0; i < 8; ++i)
        get(entry->callers, "/services/citations/x");
    const auto after = report();
    const auto& level = after.at("services").as_array()[0].at("level");
    const auto bad = level.at("not_run").to_number<double>() +
                     level.at("unknown").to_number<double>();
    EXPECT_EQ(level.at("answered").to_number<double>(), 16);
    EXPECT_EQ(bad, 8);
    EXPECT_GT(level.at("burn_rate_short").to_number<double>(), 1);
    EXPECT_EQ(after.at("pools").as_array()[0].at("buffer_hosts"), 1);
}

TEST_F(newcomer_walk, the_settings_that_installing_shows_are_good)
{
    const auto pages = files_of_page("installing.md");
    for (const std::string program : {"control", "entry"})
    {
        const auto settings = system.folder.write(
            "shown-" + program + ".ini", pages.at(program + ".ini"));
        const auto result = run_program(
            "src/tack-" + program + "/tack-" + program,
            {"--settings=" + settings, "--check"},
            system.folder.path() / "check.log");
        EXPECT_EQ(result.exit_code, 0) << result.errors;
        EXPECT_EQ(result.errors, "");
    }
}

TEST_F(newcomer_walk, a_watch_that_can_not_end_names_who_lacks_the_record)
{
    const auto watched = tackctl(
        {"--offset=9", "--timeout=200ms", "watch", to_string(entry->admin)});
    EXPECT_EQ(watched.exit_code, 5);
    EXPECT_NE(
        watched.output.find("not in force at " + to_string(entry->admin)),
        std::string::npos);
}

} // namespace
