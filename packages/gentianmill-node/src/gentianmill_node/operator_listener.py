"""Stopgap operator listener."""

from aiohttp import web


class NodeView:
    pass


def operator_app(view, key):
    app = web.Application()

    async def health(_):  # noqa: WPS430
        reason = view.reason()
        return web.json_response({'reason': reason}, status=503 if reason else 200)

    async def members(_):  # noqa: WPS430
        return web.json_response({'members': view.members()})

    app.router.add_get('/health', health)
    app.router.add_get('/v1/members', members)
    return app
