// `quaytrack bundle ...`: checks, signs and applies bundles.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <sstream>

#include "base/digest.h"
#include "base/log.h"
#include "bundle/bundle.h"
#include "bundle/keeper.h"
#include "bundle/signing.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "cli/kv_session.h"
#include "etcd/keys.h"
#include "member/registry.h"

namespace quaytrack {
namespace {

namespace leaf = boost::leaf;

struct BundleFlags {
  std::string file;
  std::string after_file;
  std::string operator_name;
  std::string key_file;
  std::string out;
  std::vector<std::string> signature_files;
};

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    std::fprintf(stderr, "can't read %s\n", path.c_str());
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  out.close();
  if (out) return true;
  std::fprintf(stderr, "can't write %s\n", path.c_str());
  return false;
}

// Reads a bundle file, and prints every problem in it.
std::optional<Bundle> ReadBundleFile(const std::string& path,
                                     std::string& text) {
  auto read = ReadFile(path);
  if (!read) return std::nullopt;
  text = std::move(*read);
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Bundle>> {
        BOOST_LEAF_AUTO(bundle, ReadBundle(text));
        return std::optional<Bundle>(std::move(bundle));
      },
      [&](const BundleProblems& problems) -> std::optional<Bundle> {
        for (const BundleProblem& it : problems.list) {
          std::fprintf(stderr, "%s: %s\n", path.c_str(), it.ToString().c_str());
        }
        return std::nullopt;
      },
      []() -> std::optional<Bundle> { return std::nullopt; });
}

int Keygen(const BundleFlags& flags) {
  const OperatorKeyPair pair = MakeOperatorKeyPair();
  if (!WriteFile(flags.out, pair.private_key + "\n")) return kExitRefused;
  std::printf("%s=%s\n", flags.operator_name.c_str(), pair.public_key.c_str());
  return kExitOk;
}

int Check(const BundleFlags& flags) {
  std::string text;
  const auto bundle = ReadBundleFile(flags.file, text);
  if (!bundle) return kExitRefused;
  std::printf(
      "version %llu: %zu budgets, %zu customers, %zu models, %zu services, "
      "%zu targets\n",
      static_cast<unsigned long long>(bundle->version), bundle->budgets.size(),
      bundle->customers.size(), bundle->models.size(), bundle->services.size(),
      bundle->targets.size());
  return kExitOk;
}

int Sign(const BundleFlags& flags) {
  std::string text;
  const auto bundle = ReadBundleFile(flags.file, text);
  const auto key = ReadFile(flags.key_file);
  if (!bundle || !key) return kExitRefused;
  const auto signature =
      SignBundle(key->substr(0, key->find('\n')), bundle->version, text);
  if (!signature) {
    std::fprintf(stderr, "%s: not a private key\n", flags.key_file.c_str());
    return kExitRefused;
  }
  const std::string line = flags.operator_name + " " + *signature + "\n";
  return WriteFile(flags.out, line) ? kExitOk : kExitRefused;
}

std::optional<std::vector<BundleSignature>> ReadSignatures(
    const std::vector<std::string>& files) {
  std::vector<BundleSignature> out;
  for (const std::string& path : files) {
    const auto text = ReadFile(path);
    if (!text) return std::nullopt;
    std::istringstream in(*text);
    BundleSignature it;
    if (!(in >> it.operator_name >> it.signature)) {
      std::fprintf(stderr, "%s: not a signature\n", path.c_str());
      return std::nullopt;
    }
    out.push_back(it);
  }
  return out;
}

std::optional<BundleHead> HeadIn(const EtcdTxnReply& reply) {
  if (reply.found.empty() || reply.found[0].empty()) return std::nullopt;
  return DecodeHead(reply.found[0][0].value);
}

std::string TextOf(KvSession& kv, const BundleHead& head) {
  std::string out;
  for (const std::string& it : head.chunks) {
    const EtcdTxnReply reply = kv.Get(keys::BundleChunk(it));
    if (reply.end == EtcdEnd::kOk && !reply.found[0].empty()) {
      out += reply.found[0][0].value;
    }
  }
  return out;
}

// Prints which bundle is in force instead, and how the refused one differs.
int ReportConflict(KvSession& kv, const BundleHead& winner,
                   const std::string& refused_text) {
  std::fprintf(stderr, "not applied: version %llu by %s is in force\n",
               static_cast<unsigned long long>(winner.version),
               winner.applied_by.c_str());
  for (const std::string& it : DiffBundles(TextOf(kv, winner), refused_text)) {
    std::fprintf(stderr, "  %s\n", it.c_str());
  }
  return kExitConflict;
}

EtcdTxn ApplyTxn(const BundleHead& head, const std::string& text,
                 std::int64_t head_revision) {
  EtcdTxn out;
  out.compares.push_back(
      EtcdCompare::Revision(keys::kBundleHead, head_revision));
  out.puts.push_back({keys::kBundleHead, EncodeHead(head), 0});
  const auto chunks = CutIntoChunks(text);
  for (std::size_t n = 0; n < chunks.size(); ++n) {
    out.puts.push_back({keys::BundleChunk(head.chunks[n]), chunks[n], 0});
  }
  out.else_gets.push_back({keys::kBundleHead});
  return out;
}

int Apply(const BundleFlags& flags, const CommonFlags& common) {
  std::string text;
  const auto bundle = ReadBundleFile(flags.file, text);
  const auto signatures = ReadSignatures(flags.signature_files);
  if (!bundle || !signatures) return kExitRefused;
  if (signatures->size() < kSignaturesNeeded) {
    std::fprintf(stderr,
                 "--signature: %zu given; needed: %zu, of different "
                 "operators\n",
                 signatures->size(), kSignaturesNeeded);
    return kExitRefused;
  }
  BundleHead head;
  head.version = bundle->version;
  head.digest = Sha256Hex(text);
  for (const std::string& it : CutIntoChunks(text)) {
    head.chunks.push_back(Sha256Hex(it));
  }
  head.signatures = *signatures;
  head.applied_by = flags.operator_name;

  KvSession kv(common.kv);
  const EtcdTxnReply before = kv.Get(keys::kBundleHead);
  if (before.end != EtcdEnd::kOk) return Unreachable();
  const auto current = HeadIn(before);
  const bool same = current && current->version == head.version &&
                    current->digest == head.digest;
  if (same) {
    std::printf("version %llu is in force already\n",
                static_cast<unsigned long long>(head.version));
    return kExitOk;
  }
  if (current && current->version >= head.version) {
    return ReportConflict(kv, *current, text);
  }
  const std::int64_t revision = current ? before.found[0][0].mod_revision : 0;
  const EtcdTxnReply reply = kv.Txn(ApplyTxn(head, text, revision));
  if (reply.end != EtcdEnd::kOk) {
    std::fprintf(stderr, "no answer; run the command again to find out\n");
    return kExitUnknown;
  }
  if (!reply.succeeded) {
    const auto winner = HeadIn(reply);
    return winner ? ReportConflict(kv, *winner, text) : kExitUnknown;
  }
  std::printf("version %llu applied\n",
              static_cast<unsigned long long>(head.version));
  return kExitOk;
}

int Show(const CommonFlags& common) {
  KvSession kv(common.kv);
  const EtcdTxnReply reply = kv.Get(keys::kBundleHead);
  if (reply.end != EtcdEnd::kOk) return kExitUnreachable;
  const auto head = HeadIn(reply);
  if (!head) {
    std::fprintf(stderr, "there is no bundle yet\n");
    return kExitRefused;
  }
  std::fputs(TextOf(kv, *head).c_str(), stdout);
  return kExitOk;
}

int Diff(const BundleFlags& flags) {
  const auto before = ReadFile(flags.file);
  const auto after = ReadFile(flags.after_file);
  if (!before || !after) return kExitRefused;
  for (const std::string& it : DiffBundles(*before, *after)) {
    std::printf("%s\n", it.c_str());
  }
  return kExitOk;
}

int Status(const CommonFlags& common) {
  KvSession kv(common.kv);
  EtcdTxn txn;
  txn.gets.push_back({keys::kBundleHead});
  txn.gets.push_back({keys::kRouterPrefix, true});
  const EtcdTxnReply reply = kv.Txn(txn);
  if (reply.end != EtcdEnd::kOk) return kExitUnreachable;
  const auto head = HeadIn(reply);
  const std::uint64_t version = head ? head->version : 0;
  std::printf("accepted %llu\n", static_cast<unsigned long long>(version));
  for (const EtcdItem& it : reply.found[1]) {
    const auto router = DecodeRouter(it.value);
    if (!router) continue;
    std::printf("%s %s %llu%s\n", router->incarnation.value.c_str(),
                router->hall.value.c_str(),
                static_cast<unsigned long long>(router->bundle_version),
                router->bundle_version < version ? " behind" : "");
  }
  return kExitOk;
}

}  // namespace

void AddKvFlag(CLI::App& command, CommonFlags& common) {
  command.add_option("--kv", common.kv, "Address of the key-value service")
      ->envname("QUAYTRACK_KV")
      ->delimiter(',')
      ->required();
}

void AddBundleCommands(CLI::App& app, CommonFlags& common, int& exit_code) {
  CLI::App* bundle =
      app.add_subcommand("bundle", "Check, sign and apply bundles");
  bundle->require_subcommand(1);
  bundle->footer(
      "Examples:\n"
      "  quaytrack bundle keygen --name ann --out ann.key\n"
      "  quaytrack bundle sign site.bundle --name ann --key ann.key --out "
      "ann.sig\n"
      "  quaytrack bundle apply site.bundle --name ann --signature ann.sig \\\n"
      "      --signature ben.sig --kv 10.0.0.5:2379\n");
  auto flags = std::make_shared<BundleFlags>();
  const auto add = [&](const char* name, const char* help) {
    return bundle->add_subcommand(name, help);
  };

  CLI::App* keygen = add("keygen", "Make an operator's key pair");
  keygen->add_option("--name", flags->operator_name, "Operator")->required();
  keygen->add_option("--out", flags->out, "File for the private key")
      ->required();
  keygen->callback([=, &exit_code] { exit_code = Keygen(*flags); });

  CLI::App* check = add("check", "Report every problem in a bundle");
  check->add_option("file", flags->file, "Bundle")->required();
  check->callback([=, &exit_code] { exit_code = Check(*flags); });

  CLI::App* sign = add("sign", "Sign a bundle");
  sign->add_option("file", flags->file, "Bundle")->required();
  sign->add_option("--name", flags->operator_name, "Operator")->required();
  sign->add_option("--key", flags->key_file, "Private key")->required();
  sign->add_option("--out", flags->out, "File for the signature")->required();
  sign->callback([=, &exit_code] { exit_code = Sign(*flags); });

  CLI::App* apply = add("apply", "Put a signed bundle in force");
  apply->add_option("file", flags->file, "Bundle")->required();
  apply->add_option("--name", flags->operator_name, "Operator")->required();
  apply->add_option("--signature", flags->signature_files, "Signature file");
  AddKvFlag(*apply, common);
  apply->callback(
      [=, &common, &exit_code] { exit_code = Apply(*flags, common); });

  CLI::App* show = add("show", "Print the accepted bundle");
  AddKvFlag(*show, common);
  show->callback([&common, &exit_code] { exit_code = Show(common); });

  CLI::App* diff =
      add("diff", "Print the lines that differ between two bundles");
  diff->add_option("before", flags->file, "Bundle")->required();
  diff->add_option("after", flags->after_file, "Bundle")->required();
  diff->callback([=, &exit_code] { exit_code = Diff(*flags); });

  CLI::App* status = add("status", "Show the version in force at each router");
  AddKvFlag(*status, common);
  status->callback([&common, &exit_code] { exit_code = Status(common); });
}

}  // namespace quaytrack
