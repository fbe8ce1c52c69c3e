#include <dandeliontack/entry_settings.hpp>

#include <gtest/gtest.h>

namespace
{

using namespace dandeliontack;

constexpr std::string_view good = R"([node]
name = entry-1
data_centre = dkr-1
[control]
address = 127.0.0.1:7101
[callers]
listen = 127.0.0.1:8080
[admin]
listen = 127.0.0.1:8081
)";

findings findings_of(const std::string& text)
{
    const auto document = parse_ini("entry.ini", text);
    if (const auto* found = std::get_if<findings>(&document))
        return *found;
    const auto settings =
        parse_entry_settings(std::get<ini_document>(document));
    const auto* found = std::get_if<findings>(&settings);
    return found ? *found : findings{};
}

finding at(unsigned line, std::string key, std::string message)
{
    return {"entry.ini", line, std::move(key), std::move(message)};
}

TEST(entry_settings, good_settings_have_no_findings)
{
    EXPECT_EQ(findings_of(std::string(good)), findings{});
}

TEST(entry_settings, unknown_section)
{
    EXPECT_EQ(
        findings_of(std::string(good) + "[extra]\na = 1\n"),
        findings{at(10, "extra", "unknown section")});
}

TEST(entry_settings, unknown_key)
{
    EXPECT_EQ(
        findings_of(std::string(good) + "[stop]\nlingering = 1s\n"),
        findings{at(11, "stop.lingering", "unknown key")});
}

TEST(entry_settings, wrong_type)
{
    EXPECT_EQ(
        findings_of(std::string(good) + "[upstreams]\nentry_processes = x\n"),
        findings{
            at(11, "upstreams.entry_processes", "must be a whole number")});
}

TEST(entry_settings, out_of_range)
{
    EXPECT_EQ(
        findings_of(std::string(good) + "[upstreams]\nentry_processes = 65\n"),
        findings{
            at(11, "upstreams.entry_processes",
               "out of range: must be at most 64")});
}

TEST(entry_settings, not_one_of_the_choices)
{
    EXPECT_EQ(
        findings_of(std::string(good) + "[logging]\nlevel = loud\n"),
        findings{
            at(11, "logging.level", "must be one of debug info warn error")});
}

TEST(entry_settings, missing_section_and_missing_key)
{
    EXPECT_EQ(
        findings_of("[node]\nname = a\n[control]\naddress = 127.0.0.1:1\n"
                    "[admin]\nlisten = 127.0.0.1:2\n"),
        (findings{
            at(1, "node.data_centre", "missing key"),
            at(0, "callers", "missing section")}));
}

TEST(entry_settings, clashing_addresses)
{
    std::string text(good);
    text.replace(text.find("8081"), 4, "8080");
    EXPECT_EQ(
        findings_of(text),
        findings{at(9, "admin.listen", "address clashes with callers.listen")});
}

TEST(entry_settings, all_findings_come_together)
{
    EXPECT_EQ(
        findings_of(
            std::string(good) +
            "[stop]\nlinger = soon\npatience = 3\n[extra]\n")
            .size(),
        3U);
}

TEST(entry_settings, lines_that_are_not_ini)
{
    EXPECT_EQ(
        findings_of("[node]\nname\nname = a\nname = b\n[node]\n[x\n"),
        (findings{
            at(2, "node", "not a section, a key or a comment"),
            at(4, "node.name", "key given twice"),
            at(5, "node", "section given twice"),
            at(6, "x", "section header is not of the form [name]")}));
}

TEST(entry_settings, peers_and_index_are_checked)
{
    EXPECT_EQ(
        findings_of(
            std::string(good) +
            "[upstreams]\nentry_processes = 2\n"
            "entry_index = 2\n"
            "[tickets]\npeers = 10.0.0.1, 10.0.0.2:80, x\n"),
        (findings{
            at(0, "tickets.peers",
               "'x' is not an IP number, nor one with a port"),
            at(0, "upstreams.entry_index",
               "must be below upstreams.entry_processes")}));
}

} // namespace
