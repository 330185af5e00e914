/** Checks addresses that other processes name. Sockets throw for an invalid port, and resolve anything but an IP address as a host name. */

const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/
const MAX_OCTET = 255
const MAX_PORT = 65_535

/** Whether the text is an IPv4 address and a port, `IP:PORT`, to which connections can be opened and datagrams sent. */
export function isSocketAddress (text: string): boolean {
  const numbers = ADDRESS.exec(text)?.slice(1).map(Number) ?? []
  const [port = 0] = numbers.slice(-1)
  return port > 0 && port <= MAX_PORT && numbers.slice(0, -1).every(octet => octet <= MAX_OCTET)
}
