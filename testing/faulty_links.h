// FaultyLinks opens connections whose network can be cut, for processes that
// tests start. The connections are real; a cut acts on their descriptors:
//
//   pass    nothing is cut
//   hang    open connections receive nothing, and new ones don't open
//   reset   open connections are reset, and new ones are refused
//   refuse  open connections live on, and new ones are refused
//
//   FaultyLinks links("/tmp/links-1", {"127.0.0.1:8223"});
//   TargetConnections connections(loop, clock, links.AsDialer());
//
// The mode is the text of the file, which is read every few milliseconds; a
// missing file means `pass`. Connections to the addresses in `uncut` always
// work. After `pass` follows `hang`, connections that haven't ended go on.
//
// In `hang`, bytes that this process sends still arrive: the kernel drops what
// it receives for the connection (a socket filter), including acknowledgements.
// Connections are opened to a listener whose queue is full.

#ifndef QUAYTRACK_TESTING_FAULTY_LINKS_H_
#define QUAYTRACK_TESTING_FAULTY_LINKS_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/enum_table.h"
#include "net/loop.h"
#include "net/tcp_socket.h"

namespace quaytrack {

enum class LinkFault { kPass, kHang, kReset, kRefuse };

template <>
struct EnumTable<LinkFault> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<LinkFault>>({{LinkFault::kPass, "pass"},
                                           {LinkFault::kHang, "hang"},
                                           {LinkFault::kReset, "reset"},
                                           {LinkFault::kRefuse, "refuse"}});
};

class FaultyLinks {
 public:
  FaultyLinks(std::string mode_file, std::set<std::string> uncut);
  ~FaultyLinks();
  FaultyLinks(const FaultyLinks&) = delete;
  FaultyLinks& operator=(const FaultyLinks&) = delete;

  // The dialer refers to this object.
  Dialer AsDialer();

 private:
  std::shared_ptr<TcpSocket> Dial(Loop& loop, const std::string& address,
                                  const TcpOptions& options,
                                  TcpSocket::Handlers handlers);
  void ReadMode();
  void Apply(TcpSocket& socket) const;

  std::string mode_file_;
  std::set<std::string> uncut_;
  LinkFault fault_ = LinkFault::kPass;
  std::vector<std::weak_ptr<TcpSocket>> sockets_;
  std::unique_ptr<Timer> timer_;
  // A listener with a full queue, and the connections that fill it.
  std::vector<int> full_queue_;
  std::string full_address_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_FAULTY_LINKS_H_
