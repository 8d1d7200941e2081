"""Stand-ins for a script: the platform's store, replicas, clients, and processes of the real program."""
import atexit, base64, json, os, re, shutil, signal, socket, struct, subprocess, sys, tempfile, threading, time
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
T0 = time.monotonic()
RECORD = None
PROCESSES = []
PROGRAM = 'target/release/jujubehook-entry'
LOCK = threading.Lock()
def start_record(folder):
    global RECORD
    if not os.path.exists(os.path.join(ROOT, PROGRAM)):
        print('the program is not built'); sys.exit(2)
    RECORD = open(os.path.join(folder, 'record.txt'), 'w')
    atexit.register(end_all)
def end_all():
    for process in PROCESSES: process.end()
def finish(broken, text):
    log('result:', 'BROKEN' if broken else 'held', text)
    print(('broken: ' if broken else 'held: ') + text)
    end_all(); RECORD.flush(); os._exit(1 if broken else 0)
def cannot_run(text):
    log('result: cannot run', text); print('cannot run: ' + text)
    end_all(); RECORD.flush(); os._exit(2)
def log(*a):
    line = '%8.3f ' % (time.monotonic() - T0) + ' '.join(str(x) for x in a)
    with LOCK:
        if RECORD: RECORD.write(line + '\n'); RECORD.flush()
        else: print(line, flush=True)
class Reader:
    def __init__(s, sock): s.sock, s.buf = sock, b''
    def fill(s):
        data = s.sock.recv(65536)
        if not data: raise EOFError
        s.buf += data
    def line(s):
        while b'\n' not in s.buf: s.fill()
        line, s.buf = s.buf.split(b'\n', 1)
        return line.rstrip(b'\r').decode('latin1')
    def exact(s, n):
        while len(s.buf) < n: s.fill()
        data, s.buf = s.buf[:n], s.buf[n:]
        return data
    def head(s):
        first = s.line()
        headers = {}
        while True:
            line = s.line()
            if not line: return first, headers
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    def body(s, headers):
        if 'chunked' in headers.get('transfer-encoding', ''):
            data = b''
            while True:
                n = int(s.line().split(';')[0], 16)
                data += s.exact(n)
                s.line()
                if n == 0: return data
        if 'content-length' in headers: return s.exact(int(headers['content-length']))
        return b''
def serve(address, handler):
    ls = socket.socket(); ls.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    ls.bind(address); ls.listen(512)
    def loop():
        while True:
            try: sock, _ = ls.accept()
            except OSError: return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=run, args=(sock,), daemon=True).start()
    def run(sock):
        try: handler(sock)
        except (EOFError, OSError, ValueError): pass
        finally:
            try: sock.close()
            except OSError: pass
    threading.Thread(target=loop, daemon=True).start()
    return ls
class Store:
    def __init__(s, ip='127.0.0.1'):
        s.topics = {}; s.cond = threading.Condition()
        s.ls = serve((ip, 0), s.handle); s.address = s.ls.getsockname()
    def put(s, topic, key, value):
        with s.cond:
            s.topics.setdefault(topic, []).append((key, value)); s.cond.notify_all()
            return len(s.topics[topic])
    def handle(s, sock):
        r = Reader(sock)
        while True:
            first, headers = r.head(); body = r.body(headers)
            method, path, _ = first.split(' ')
            path, _, query = path.partition('?')
            q = dict(p.split('=', 1) for p in query.split('&') if '=' in p)
            status, data, kind = s.answer(path, q, body)
            sock.sendall(('HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n' % (status, kind, len(data))).encode() + data)
    def answer(s, path, q, body):
        js = 'application/json'; raw = 'application/octet-stream'
        topic = q.get('topic', '')
        if path.endswith('log-newest'):
            with s.cond:
                records = s.topics.get(topic, [])
                newest = {}
                for at, (k, v) in enumerate(records): newest[k] = (at, v)
                rows = [{'key': k, 'value': base64.b64encode(v).decode(), 'offset': at} for k, (at, v) in sorted(newest.items()) if v]
                return '200 OK', json.dumps({'entries': rows, 'hasMore': False, 'end': len(records)}).encode(), js
        if path.endswith('log-read'):
            start = int(q['from']); until = time.monotonic() + int(q.get('waitMs', 0)) / 1e3
            with s.cond:
                while len(s.topics.get(topic, [])) <= start and time.monotonic() < until:
                    s.cond.wait(max(0.001, until - time.monotonic()))
                records = s.topics.get(topic, [])
                out = struct.pack('>QQ', len(records), 0)
                for k, v in records[start:]:
                    rec = bytes([len(k)]) + k.encode() + v
                    out += struct.pack('>I', len(rec)) + rec
                return '200 OK', out, raw
        if path.endswith('log-append'):
            n, = struct.unpack('>I', body[:4]); rec = body[4:4 + n]
            k = rec[1:1 + rec[0]].decode(); v = rec[1 + rec[0]:]
            end = s.put(topic, k, v)
            return '200 OK', json.dumps({'offset': end - 1, 'end': end}).encode(), js
        return '404 Not Found', b'{}', js
class Replica:
    """behave(replica, sock, first, headers, body) -> True to keep the connection"""
    def __init__(s, store, id, service, behave, ip='127.0.0.1', slots=6, zone='z-a'):
        s.store, s.id, s.service, s.behave, s.slots, s.zone = store, id, service, behave, slots, zone
        s.runs = []; s.born = int(time.time() * 1e3); s.seq = 0
        s.ls = serve((ip, 0), s.handle); s.address = s.ls.getsockname()
        s.beat()
    def beat(s, state='ready', **more):
        s.seq += 1
        v = {'service': s.service, 'address': '%s:%d' % s.address, 'zone': s.zone, 'version': 'v1', 'slots': s.slots, 'state': state, 'coldRemainingMs': 0, 'sequence': s.seq, 'born': s.born}
        v.update(more)
        return s.store.put('keyed.servers', s.id, json.dumps(v).encode())
    def handle(s, sock):
        r = Reader(sock)
        while True:
            first, headers = r.head()
            if headers.get('x-target-instance', s.id) != s.id:
                r.body(headers); sock.sendall(b'HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n' % headers.get('x-request-id', '').encode()); continue
            body = r.body(headers)
            if first.split(' ')[1].startswith('/jujubehook/report'):
                data = json.dumps({'born': s.born, 'stage': 'hybrid', 'tickets': []}).encode()
                sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n' % len(data) + data); continue
            if not s.behave(s, sock, first, headers, body): return
def answer(sock, headers, body, status='200 OK', extra=''):
    sock.sendall(('HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Signature: sig\r\n%sContent-Length: %d\r\n\r\n' % (status, headers.get('x-request-id', ''), extra, len(body))).encode() + body)
def route(name, prefix, kind, service, **more):
    r = {'name': name, 'host': 'h.example', 'pathPrefix': prefix, 'kind': kind, 'timeoutMs': 10000, 'targetLatencyMs': 150, 'priority': 1, 'service': service, 'maxAttempts': 2, 'allowAnonymous': False}
    r.update(more); return r
def config(version, routes, services, tenants=({'name': 'ten', 'apiKeys': ['key1'], 'priority': 1},), **limits):
    l = {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304, 'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}; l.update(limits)
    return json.dumps({'version': version, 'routes': routes, 'services': services, 'limits': l, 'tenants': list(tenants)}).encode()
def plain(name): return {'name': name, 'healthPath': '/health', 'maxConnections': 208, 'protocol': 'h1', 'tls': False, 'coldStartS': 0.0, 'coldPerS': 0.0}
def free_port(ip, kind=socket.SOCK_STREAM):
    s = socket.socket(socket.AF_INET, kind); s.bind((ip, 0)); p = s.getsockname()[1]; s.close(); return p
class Ports:
    def __init__(s):
        sockets = [socket.socket() for _ in range(4)]
        for one in sockets: one.bind(('127.0.0.1', 0))    # all are open at the same time, so that no port comes twice
        s.front, s.ready, s.peer, s.control = [one.getsockname()[1] for one in sockets]
        for one in sockets: one.close()
class Process:
    def __init__(s, store, name, ip, ports, zone='z-a', seeds=(), memory=182, bounds=None):
        s.name, s.ip, s.ports = name, ip, ports
        b = {'apply': 2000, 'drain': 2000}; b.update(bounds or {})
        text = open(ROOT + '/deploy/settings.toml').read()
        fill = {'nodeName|json': json.dumps(name), 'zone|json': json.dumps(zone), 'ip|json': json.dumps(ip), 'listen.front': '%s:%d' % (ip, ports.front), 'listen.ready': '%s:%d' % (ip, ports.ready), 'portRange.0': ports.peer, 'seeds': ','.join('%s:%d' % (x, ports.control) for x in seeds), 'bounds.graceS': 8, 'limits.cpuShare': 0.17, 'provider.address': '%s:%d' % store.address, 'bounds.configApplyMs': b['apply'], 'bounds.drainMs': b['drain'], 'bounds.coldOverage': 1.5, 'bounds.coldSlack': 5, 'bounds.retryBudgetRatio': 0.2, 'bounds.budgetSlack': 217, 'bounds.retryWindowS': 10, 'limits.memoryMb': memory}
        text = re.sub(r'\{\{[#/^][^}]*\}\}', '', text)
        text = re.sub(r'\{\{([^}]*)\}\}', lambda m: str(fill[m.group(1)]), text)
        s.dir = tempfile.mkdtemp(prefix='case-'); s.file = s.dir + '/settings.toml'
        open(s.file, 'w').write(text)
        s.out = open(s.dir + '/log', 'ab')
        PROCESSES.append(s)
        s.start()
    def start(s):
        s.p = subprocess.Popen([PROGRAM], cwd=ROOT, env={'PATH': os.environ['PATH'], 'JUJUBEHOOK_CONFIG': s.file}, stdout=s.out, stderr=s.out)
    def wait_ready(s, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if s.is_ready(): return True
            time.sleep(0.05)
        log(s.name, 'is not ready; exit code', s.p.poll(), 'ports', vars(s.ports), 'the end of its output:', open(s.dir + '/log', errors='replace').read()[-4000:])
        return False
    def is_ready(s):
        try:
            c = socket.create_connection((s.ip, s.ports.ready), 1); c.settimeout(1)
            c.sendall(b'GET /jujubehook/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            return c.recv(100).startswith(b'HTTP/1.1 200')
        except OSError: return False
    def signal(s, n): s.p.send_signal(n)
    def rss(s, field='VmRSS'):
        try:
            for l in open('/proc/%d/status' % s.p.pid):
                if l.startswith(field): return int(l.split()[1]) / 1024
        except OSError: pass
        return 0
    def connect(s, timeout=30):
        c = socket.create_connection((s.ip, s.ports.front), 2); c.settimeout(timeout); c.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1); return c
    def end(s):
        if s.p.poll() is None: s.p.kill()
        s.p.wait()
        shutil.rmtree(s.dir, ignore_errors=True)
COUNT = [0]
def rid():
    with LOCK: COUNT[0] += 1; return '%016x' % (0x9c41000000000000 + COUNT[0])
def request(method, path, id, deadline=2500, key='key1', body=None, extra=''):
    h = '%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nX-Api-Key: %s\r\n%s' % (method, path, id, deadline, key, extra)
    if body is not None: h += 'Content-Length: %d\r\n' % len(body)
    return h.encode() + b'\r\n' + (body or b'')
def read_answer(c):
    r = Reader(c); first, headers = r.head()
    return int(first.split(' ')[1]), headers, r.body(headers)
