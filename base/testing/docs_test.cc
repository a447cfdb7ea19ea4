// Checks the documentation against the sources: each file, log event and test
// that a page names must exist, and the rows of the index of rules and of the
// table of failures must have all the names that they need.
//
// A name is recognised by its form between backquotes:
//
//   `base/events.h`, `chart/charts/`      a file, a folder
//   `QT1408 relay_ended`                  a log event
//   `kv_follower_test`                    a test program
//   `resident_stop_test/AReloadCutsNothing`   one of its cases
//
// So renaming a file or a case makes this test fail until the pages are
// updated. Pages about the past (FINDINGS, incidents) are left out, as they
// name files and tests that may be gone.

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "base/events.h"

namespace quaytrack {
namespace {

namespace fs = std::filesystem;

using Strings = std::vector<std::string>;

// Prefixes of words with a slash that aren't files: keys of the stores, built
// programs, and removed load tools that are still named beside figures.
constexpr auto kNotFiles =
    std::to_array<std::string_view>({"quaytrack/", "qt/", "build/", "bench/"});

// The lowest number of rows that all tables of a kind have together. A table
// whose heading has changed isn't read, and these bounds then show the loss.
constexpr std::size_t kMinRules = 40;
constexpr std::size_t kMinFailures = 35;
constexpr std::size_t kMinPromises = 25;

fs::path Root() { return QUAYTRACK_SOURCE_DIR; }

std::string ReadFile(const fs::path& path) {
  std::ifstream in(path);
  BOOST_REQUIRE_MESSAGE(in.good(), path);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string Page(std::string_view name) { return ReadFile(Root() / name); }

std::vector<fs::path> AllPages() {
  std::vector<fs::path> out = {Root() / "README.md"};
  for (const auto& it : fs::recursive_directory_iterator(Root() / "docs")) {
    if (it.path().extension() == ".md") out.push_back(it.path());
  }
  return out;
}

bool IsHistory(const fs::path& page) {
  return page.filename() == "FINDINGS.md" ||
         page.parent_path().filename() == "incidents";
}

// All texts between backquotes.
Strings Quoted(const std::string& text) {
  static const std::regex kQuoted("`([^`\n]+)`");
  Strings out;
  for (std::sregex_iterator it(text.begin(), text.end(), kQuoted), end;
       it != end; ++it) {
    out.push_back((*it)[1]);
  }
  return out;
}

Strings Matching(const std::string& text, const std::regex& form) {
  Strings out = Quoted(text);
  std::erase_if(
      out, [&](const std::string& it) { return !std::regex_match(it, form); });
  return out;
}

Strings TestsIn(const std::string& text) {
  static const std::regex kTest("[a-z]+_[a-z_]+_test(/[A-Za-z0-9]+)?");
  return Matching(text, kTest);
}

Strings FilesIn(const std::string& text) {
  static const std::regex kFile("\\.?[a-z][a-z_]*/[A-Za-z0-9_./-]*");
  Strings out = Matching(text, kFile);
  std::erase_if(out, [](const std::string& it) {
    return it.find("_test/") != std::string::npos ||
           std::any_of(kNotFiles.begin(), kNotFiles.end(),
                       [&](std::string_view no) { return it.starts_with(no); });
  });
  return out;
}

Strings EventsIn(const std::string& text) {
  static const std::regex kEvent("QT[0-9]{4}( [a-z_]+)?");
  return Matching(text, kEvent);
}

// --- Existence of files, tests and events ------------------------------------

bool FileExists(const std::string& name) {
  const fs::path path = Root() / name;
  return name.ends_with('/') ? fs::is_directory(path)
                             : fs::is_regular_file(path);
}

// The source of a test program, by the naming rule in CMakeLists.txt.
fs::path SourceOf(const std::string& program) {
  const std::size_t at = program.find('_');
  const std::string folder = program.substr(0, at);
  const std::string file = program.substr(at + 1) + ".cc";
  if (folder == "process") return Root() / "testing/process" / file;
  if (folder == "resident") return Root() / "platform/testing/process" / file;
  return Root() / folder / "testing" / file;
}

bool TestExists(const std::string& name) {
  const std::size_t slash = name.find('/');
  const fs::path source = SourceOf(name.substr(0, slash));
  if (!fs::is_regular_file(source)) return false;
  if (slash == std::string::npos) return true;
  // Blanks are removed, as the formatter may break the line anywhere.
  std::string text = ReadFile(source);
  std::erase_if(text, [](char it) { return it == ' ' || it == '\n'; });
  const std::string open = "_TEST_CASE(" + name.substr(slash + 1);
  return text.find(open + ")") != std::string::npos ||
         text.find(open + ",") != std::string::npos;
}

bool EventExists(const std::string& name) {
  return std::any_of(
      kEventCatalogue.begin(), kEventCatalogue.end(), [&](const EventInfo& it) {
        const std::string number =
            "QT" + std::to_string(static_cast<int>(it.event));
        return name == number || name == number + " " + std::string(it.name);
      });
}

// The enumerator of an event, "Event::kRelayEnded" for "relay_ended".
std::string ConstantOf(const std::string& event) {
  std::string out = "Event::k";
  bool upper = true;
  for (const char it : event.substr(event.find(' ') + 1)) {
    if (it == '_') {
      upper = true;
      continue;
    }
    out += upper ? static_cast<char>(it - 'a' + 'A') : it;
    upper = false;
  }
  return out;
}

bool IsSource(const fs::path& path) {
  const std::string name = fs::relative(path, Root()).string();
  const bool code = name.ends_with(".cc") || name.ends_with(".h");
  return code && !name.starts_with("base/events.h") &&
         !name.starts_with("build") && !name.starts_with("testing/") &&
         name.find("/testing/") == std::string::npos;
}

// The product's sources, concatenated.
const std::string& AllSources() {
  static const std::string kText = [] {
    std::string out;
    for (const auto& folder : fs::directory_iterator(Root())) {
      if (!folder.is_directory()) continue;
      for (const auto& it : fs::directory_iterator(folder.path())) {
        if (it.is_regular_file() && IsSource(it.path())) {
          out += ReadFile(it.path());
        }
      }
    }
    return out;
  }();
  return kText;
}

bool IsNamePart(char it) {
  return std::isalnum(static_cast<unsigned char>(it)) != 0 || it == '_';
}

// Whether some source has the event's enumerator, as a complete word.
bool EventIsLogged(const std::string& name) {
  const std::string& text = AllSources();
  const std::string word = ConstantOf(name);
  for (std::size_t at = text.find(word); at != std::string::npos;
       at = text.find(word, at + 1)) {
    const std::size_t end = at + word.size();
    if (!IsNamePart(text[at - 1]) && !IsNamePart(text[end])) return true;
  }
  return false;
}

// All files, tests and events that `text` names but that don't exist.
Strings Missing(const std::string& text) {
  Strings out;
  const auto check = [&](const Strings& names,
                         bool (*exists)(const std::string&)) {
    std::remove_copy_if(names.begin(), names.end(), std::back_inserter(out),
                        exists);
  };
  check(FilesIn(text), FileExists);
  check(TestsIn(text), TestExists);
  check(EventsIn(text), EventExists);
  return out;
}

// --- Tables ------------------------------------------------------------------

Strings CellsOf(const std::string& line) {
  Strings out;
  std::size_t at = 1;
  while (at < line.size()) {
    const std::size_t end = std::min(line.find('|', at), line.size());
    out.push_back(line.substr(at, end - at));
    at = end + 1;
  }
  return out;
}

// The rows of all tables with this heading, without the heading and the line
// below it.
std::vector<Strings> RowsBelow(const std::string& heading,
                               const std::string& text) {
  std::vector<Strings> out;
  std::istringstream in(text);
  bool inside = false;
  for (std::string line; std::getline(in, line);) {
    if (line == heading) {
      inside = true;
    } else if (!line.starts_with('|')) {
      inside = false;
    } else if (inside && !line.starts_with("|-")) {
      out.push_back(CellsOf(line));
    }
  }
  return out;
}

bool CellIs(const std::string& cell, std::string_view word) {
  return cell == " " + std::string(word) + " ";
}

// The faults in the rows of the index of rules.
Strings RuleFaults(const std::string& text) {
  Strings out;
  for (const Strings& row : RowsBelow("| Rule | File | Event |", text)) {
    const bool complete = row.size() == 3;
    if (!complete || FilesIn(row[1]).empty()) {
      out.push_back("no file:" + row[0]);
      continue;
    }
    const Strings events = EventsIn(row[2]);
    if (events.empty() && !CellIs(row[2], "none")) {
      out.push_back("no event:" + row[0]);
    }
    for (const std::string& it : events) {
      if (!EventIsLogged(it)) out.push_back("never logged: " + it);
    }
  }
  return out;
}

// The faults in the rows of the table of failures.
Strings FailureFaults(const std::string& text) {
  Strings out;
  for (const Strings& row :
       RowsBelow("| What fails | What happens | File | Test |", text)) {
    const bool complete = row.size() == 4;
    if (!complete || FilesIn(row[2]).empty()) {
      out.push_back("no file:" + row[0]);
      continue;
    }
    const bool tested = row[3].find('/') != std::string::npos;
    if (TestsIn(row[3]).empty() ? !CellIs(row[3], "no test") : !tested) {
      out.push_back("no test case:" + row[0]);
    }
  }
  return out;
}

std::string Joined(const Strings& lines) {
  std::string out;
  for (const std::string& it : lines) out += "\n  " + it;
  return out;
}

// --- Tests of the pages ------------------------------------------------------

BOOST_AUTO_TEST_CASE(WhatAPageNamesExists) {
  for (const fs::path& page : AllPages()) {
    if (IsHistory(page)) continue;
    const Strings missing = Missing(ReadFile(page));
    BOOST_TEST(missing.empty(), page << " names:" << Joined(missing));
  }
}

BOOST_AUTO_TEST_CASE(EachRuleNamesItsFileAndAnEventThatIsLogged) {
  const std::string text = Page("docs/DECISIONS.md");
  BOOST_TEST(RowsBelow("| Rule | File | Event |", text).size() >= kMinRules);
  const Strings faults = RuleFaults(text);
  BOOST_TEST(faults.empty(), Joined(faults));
}

BOOST_AUTO_TEST_CASE(EachFailureNamesItsFileAndTest) {
  const std::string text = Page("docs/ARCHITECTURE.md");
  const auto rows =
      RowsBelow("| What fails | What happens | File | Test |", text);
  BOOST_TEST(rows.size() >= kMinFailures);
  const Strings faults = FailureFaults(text);
  BOOST_TEST(faults.empty(), Joined(faults));
}

BOOST_AUTO_TEST_CASE(EachPromiseNamesATest) {
  const std::string text = Page("docs/PROOF.md");
  const auto rows =
      RowsBelow("| # | Promise | Shown by | Faults | Figure |", text);
  BOOST_TEST(rows.size() >= kMinPromises);
  for (const Strings& row : rows) {
    BOOST_REQUIRE(row.size() == 5U);
    BOOST_TEST(!TestsIn(row[2]).empty(), row[1] << row[2]);
  }
}

BOOST_AUTO_TEST_CASE(EachLinkBetweenPagesLeadsSomewhere) {
  static const std::regex kLink("\\]\\(([^)#:]+)(#[^)]*)?\\)");
  int links = 0;
  for (const fs::path& page : AllPages()) {
    const std::string text = ReadFile(page);
    for (std::sregex_iterator it(text.begin(), text.end(), kLink), end;
         it != end; ++it) {
      const fs::path to = page.parent_path() / (*it)[1].str();
      BOOST_TEST(fs::exists(to), page << " leads to " << to);
      ++links;
    }
  }
  BOOST_TEST(links > 10);
}

// The next two cases test the checks themselves: each wrong name or row must
// be reported.
BOOST_AUTO_TEST_CASE(AWrongNameIsNoticed) {
  BOOST_TEST(Missing("`base/log.h` `base/testing/` `QT1408 relay_ended` "
                     "`QT1408` `base_docs_test/AWrongNameIsNoticed` "
                     "`quaytrack/prepaid` `/readyz`")
                 .empty());
  for (const char* it :
       {"`base/log.hh`", "`base/log`", "`baze/log.h`", "`base/log.h/`",
        "`QT1408 relay_end`", "`QT1499`", "`QT1408 prepaid_short`",
        "`base_page_test`", "`base_docs_test/AWrongName`"}) {
    BOOST_TEST(Missing(it).size() == 1U, it);
  }
}

BOOST_AUTO_TEST_CASE(AWrongRowIsNoticed) {
  const std::string rules = "| Rule | File | Event |\n|---|---|---|\n";
  const std::string right = "| A | `base/log.h` | `QT1408 relay_ended` |\n";
  BOOST_TEST(RuleFaults(rules + right).empty());
  for (const char* it :
       {"| A | `base/log.h` | |\n", "| A | | none |\n", "| A |\n",
        "| A | `base/log.h` | `QT1408 nothing_logged` |\n"}) {
    BOOST_TEST(RuleFaults(rules + it).size() == 1U, it);
  }
  const std::string failures =
      "| What fails | What happens | File | Test |\n|---|---|---|---|\n";
  BOOST_TEST(FailureFaults(failures + "| A | B | `base/log.h` | no test |\n" +
                           "| A | B | `base/log.h` | `kv_x_test/C` |\n")
                 .empty());
  for (const char* it :
       {"| A | B | | no test |\n", "| A | B | `base/log.h` | |\n",
        "| A | B | `base/log.h` | `kv_follower_test` |\n", "| A | B |\n"}) {
    BOOST_TEST(FailureFaults(failures + it).size() == 1U, it);
  }
}

}  // namespace
}  // namespace quaytrack
