"""A client with a small receive window that reads its answer at a steady, low rate.

Arguments: host, port, request id, host header, path, key, time limit in ms, bytes a second, size of the receive buffer.
Prints one line of JSON: status, length announced (or null), bytes of the body, whether the answer is whole, and when its channel ended.
"""
import json
import socket
import sys
import time

host, port, request_id, name, path, key, limit_ms, rate, window = sys.argv[1:]
channel = socket.socket()
channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, int(window))
channel.settimeout(1)
began = time.time()
until = began + int(limit_ms) / 1000
channel.connect((host, int(port)))
head = [f'POST {path} HTTP/1.1', f'Host: {name}', f'X-Request-Id: {request_id}', f'X-Deadline-Ms: {limit_ms}', f'Authorization: Bearer {key}', 'Content-Type: text/plain', 'Content-Length: 6']
channel.sendall(('\r\n'.join(head) + '\r\n\r\nexport').encode())

raw = b''
ended = 'time limit'


def parse(raw):
    """Status, announced length, body, and whether the body is whole."""
    head, separator, rest = raw.partition(b'\r\n\r\n')
    if not separator:
        return None, None, b'', False
    lines = head.decode('latin1').split('\r\n')
    fields = {line.split(':', 1)[0].lower(): line.split(':', 1)[1].strip() for line in lines[1:]}
    status = int(lines[0].split()[1])
    if 'content-length' in fields:
        length = int(fields['content-length'])
        return status, length, rest[:length], len(rest) >= length
    body = b''
    while True:
        size, separator, rest = rest.partition(b'\r\n')
        if not separator:
            return status, None, body, False
        count = int(size, 16)
        if count == 0:
            return status, None, body, rest.startswith(b'\r\n')
        body += rest[:count]
        if len(rest) < count + 2:
            return status, None, body, False
        rest = rest[count + 2:]


while time.time() < until:
    try:
        data = channel.recv(8192)
    except socket.timeout:
        continue
    except OSError as error:
        ended = str(error)
        break
    if not data:
        ended = 'closed by the other side'
        break
    raw += data
    if (raw.endswith(b'0\r\n\r\n') or b'ontent-' in raw[:600]) and parse(raw)[3]:
        ended = 'answer whole'
        break
    pause = began + len(raw) / float(rate) - time.time()
    if pause > 0:
        time.sleep(pause)

status, announced, body, is_whole = parse(raw)
print(json.dumps({'id': request_id, 'status': status, 'announced': announced, 'bytes': len(body), 'whole': is_whole, 'ended': ended, 'beganAt': round(began * 1000), 'endedAt': round(time.time() * 1000)}))
